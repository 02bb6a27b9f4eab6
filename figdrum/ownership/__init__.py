"""Decides which agent of a service holds a flow."""
