"""Client of the platform's versioned object API, and an in-memory store.

Nodes that are configured by `figdrum.settings.node` use the platform's object
store through `figdrum.registry.object_store` instead.
"""
