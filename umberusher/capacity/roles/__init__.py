"""The roles at the planned size: the state, messages and resources of each, and their mechanisms.

All figures are computed from measurements, numbers of the plan and the program's constants; these
modules contain none of their own.
"""

from umberusher.capacity.roles.broker import BROKER
from umberusher.capacity.roles.client_connection import CLIENT_CONNECTION
from umberusher.capacity.roles.discovery import DISCOVERY
from umberusher.capacity.roles.engine import ENGINE
from umberusher.capacity.roles.fleet import FLEET
from umberusher.capacity.roles.primary import PRIMARY_CHANGE
from umberusher.capacity.roles.tools import TOOLS
from umberusher.capacity.roles.watching import WATCHING

ROLES = (
    BROKER,
    DISCOVERY,
    ENGINE,
    CLIENT_CONNECTION,
    TOOLS,
    WATCHING,
    PRIMARY_CHANGE,
    FLEET,
)
