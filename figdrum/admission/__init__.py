"""Admission control of an agent: warm-up, customer limits, load shedding."""
