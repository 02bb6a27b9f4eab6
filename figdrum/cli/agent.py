"""`figdrum agent`: runs an agent."""

from figdrum.cli import role


class AgentCommand(role.RoleCommand):
    """Runs an agent until SIGTERM."""
    name = 'agent'
    description = 'Runs an agent.'
    role = 'agent'
