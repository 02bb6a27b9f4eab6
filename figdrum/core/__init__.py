"""Ids, clock, states and errors shared by every part."""
