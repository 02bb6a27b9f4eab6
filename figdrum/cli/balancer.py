"""`figdrum balancer`: runs a balancer."""

from figdrum.cli import role


class BalancerCommand(role.RoleCommand):
    """Runs a balancer until SIGTERM."""
    name = 'balancer'
    description = 'Runs a balancer.'
    role = 'balancer'
