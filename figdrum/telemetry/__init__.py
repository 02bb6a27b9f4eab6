"""Logs, metrics, and recording and replay of decisions."""
