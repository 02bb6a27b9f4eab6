"""A layer-4 load balancer driven by approved customer contracts."""

__version__ = '0.1.0'
