"""A simulated fleet: brokers that make the real decisions, engines and control machines.

A simulated broker runs the real discovery client, endpoint registry and load balancer, but has no
client or engine sockets. The control machines answer its long polls over loopback sockets; the
engines are only state, without sockets.
"""
