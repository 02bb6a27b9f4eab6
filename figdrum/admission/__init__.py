"""Capacity, warm-up, customer limits and load shedding at an agent."""
