"""Each node's replica of the platform's objects and its anti-entropy."""
