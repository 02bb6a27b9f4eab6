"""Identifiers, clocks, limits, states and errors that all packages share."""
