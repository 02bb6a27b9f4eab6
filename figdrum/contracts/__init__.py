"""Customer contracts and the log of approved changes to them."""
