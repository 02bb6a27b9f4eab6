"""Chains of filters that requests and packets pass."""
