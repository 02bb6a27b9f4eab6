"""Customer contracts and the ordered log of their changes."""
