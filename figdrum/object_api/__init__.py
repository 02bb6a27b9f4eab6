"""The object API of the product's own path: client, and a store in memory.

Nodes on the users' platform use `figdrum.registry.object_store`.
"""
