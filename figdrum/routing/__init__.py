"""The balancer's routing decision."""
