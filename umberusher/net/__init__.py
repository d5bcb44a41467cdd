"""Sockets: the epoll loop, ring buffers, listeners and connections."""
