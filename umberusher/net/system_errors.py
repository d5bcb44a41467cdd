"""What a failed ``accept`` proves, by its errno.

Source: Linux man-pages, accept(2). It passes on network errors that are pending on the new
connection, and asks callers to retry after them.
"""

from __future__ import annotations

import errno
from enum import Enum


class ErrorClass(Enum):
    """What a failed call proves.

    Attributes:
        NOTHING_READY: The call would block, or a signal has interrupted it; nothing has happened.
        CONNECTION_GONE: The connection at hand has failed; others are not affected.
        DESCRIPTORS_EXHAUSTED: This process holds as many descriptors as it may; closing one helps.
        RESOURCE_SHORTAGE: The system lacks a resource for now; closing a descriptor of this process
            doesn't help, and no peer is to blame.
    """

    NOTHING_READY = "nothing ready"
    CONNECTION_GONE = "connection gone"
    DESCRIPTORS_EXHAUSTED = "descriptors exhausted"
    RESOURCE_SHORTAGE = "resource shortage"


_NOTHING_READY = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR})
# The errors that accept(2) names as pending on the new connection, and of a connection that was
# aborted or forbidden by a firewall before it was accepted.
_ACCEPTED_GONE = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EPERM,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ETIMEDOUT,
    }
)


def classify_accept_error(error_number: int | None) -> ErrorClass:
    """Return what a failed ``accept`` proves; an unknown error counts as a shortage."""
    if error_number in _NOTHING_READY:
        return ErrorClass.NOTHING_READY
    if error_number in _ACCEPTED_GONE:
        return ErrorClass.CONNECTION_GONE
    if error_number == errno.EMFILE:
        return ErrorClass.DESCRIPTORS_EXHAUSTED
    return ErrorClass.RESOURCE_SHORTAGE
