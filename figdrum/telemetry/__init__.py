"""Logs, metrics and recorded traces."""
