"""Sockets: the epoll loop, ring buffers and connections."""
