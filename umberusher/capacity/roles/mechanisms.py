"""Mechanisms that several roles name: existing ones, and ones that the program lacks.

The texts appear on the page; the names of modules in them must match the program.
"""

USERS_DISCOVERY = "the users' own discovery; measured is a stand-in"
DIRECTORY = "directory in columns (`umberusher/endpoints/directory.py`)"
SUBSET = "subset (`umberusher/endpoints/subset.py`)"
LONG_POLL = "long poll (`umberusher/discovery/client.py`)"
DRAINS = "drains (`EndpointRegistry.find`)"
SINGLE_THREAD = "one thread: a change is taken whole"
WORK_PROPORTIONAL_TO_CHANGE = "work for a change that goes with the change"
CHUNKED_BURST = "a lump that is applied in parts, or one that is told in parts: not in the protocol"
HELD_LIST = "a list that is fetched once and can be held"
CHUNKED_LIST = "a list in pieces or compressed, or a zone's change told as one: not in the protocol"
SEVERAL_ADDRESSES = "more than one address of discovery in the configuration"
ALTERNATE_CONTROL = (
    "a way round what is lost, as another region's control: "
    "not in the protocol, nor in the configuration"
)
ADDRESS_POLLED_AGAIN = "their address is asked again (`umberusher/discovery/client.py`)"
LAST_LIST_KEPT = "what was known goes on (`umberusher/discovery/client.py`)"
CHOICE_BY_LOAD = "choice by load reports (`umberusher/decisions/engine_choice.py`)"
HEALTH_CHECKS = "a look a second at each that is held (`umberusher/decisions/health_checks.py`)"
SECOND_EVENT_LOOP = "a second loop a broker, or more brokers"
