"""Model-checker specifications of the core protocol."""
