"""Checks a broker from outside, by the traffic on the stand-ins' sockets and nothing else.

:mod:`checker` reads a log of events and reports every breach of the platform's rules;
:mod:`request_model` is an explicit model of the lifecycle of one request.
"""
