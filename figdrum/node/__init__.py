"""The balancer and agent processes, which forward packets."""
