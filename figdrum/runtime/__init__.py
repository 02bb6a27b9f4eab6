"""Event loop, sockets and HTTP for the processes that forward packets."""
