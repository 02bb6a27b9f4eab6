"""A layer-4 load balancer driven by approved customer contracts."""
