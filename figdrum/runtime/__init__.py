"""The event loop, sockets and HTTP of processes that carry packets."""
