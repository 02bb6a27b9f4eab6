"""A randomized soak of the real balancers and agents under faults."""
