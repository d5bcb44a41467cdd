"""Stand-ins for what the broker talks to: query nodes, the notice board, clients. They decide nothing of the broker's.

All are written from the protocol's page, run on loopback and end by themselves. Their codecs are their own, so that a
fault in the broker's is not mirrored here.
"""
