"""The balancer process."""
