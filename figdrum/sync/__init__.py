"""Replicates the platform's objects to all nodes by gossip."""
