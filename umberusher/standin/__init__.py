"""Stand-ins for the peers of a broker: engines, the discovery service and clients.

They are independent of the broker's internals: all are written from the protocol's page, run on
loopback and end by themselves. They have codecs of their own, so that a fault in the broker's
codecs is not mirrored here.
"""
