"""Randomized soak test: real balancers and agents under injected faults."""
