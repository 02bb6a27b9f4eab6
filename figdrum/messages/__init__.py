"""Typed messages between figdrum processes and their msgpack codec."""
