"""The table of how attempts are abandoned, by the location of their bytes."""

from __future__ import annotations

import pytest

from umberusher.deadlines.disposition import (
    ByteLocation,
    ExecutionProof,
    SendAction,
    choose_disposition,
)


@pytest.mark.parametrize(
    "location, is_exclusive, action, proof",
    [
        (ByteLocation.QUEUED, True, SendAction.WITHDRAW, ExecutionProof.NEVER_RAN),
        (ByteLocation.QUEUED, False, SendAction.WITHDRAW, ExecutionProof.NEVER_RAN),
        (ByteLocation.PARTLY_WRITTEN, True, SendAction.CLOSE_CONNECTION, ExecutionProof.NEVER_RAN),
        (ByteLocation.PARTLY_WRITTEN, False, SendAction.HOLD_OUTPUT, ExecutionProof.NEVER_RAN),
        (ByteLocation.IN_KERNEL, True, SendAction.CLOSE_CONNECTION, ExecutionProof.MAY_HAVE_RUN),
        (ByteLocation.IN_KERNEL, False, SendAction.SEND_STOP, ExecutionProof.MAY_HAVE_RUN),
        (ByteLocation.AT_ENGINE, True, SendAction.SEND_STOP, ExecutionProof.MAY_HAVE_RUN),
        (ByteLocation.AT_ENGINE, False, SendAction.SEND_STOP, ExecutionProof.MAY_HAVE_RUN),
        (ByteLocation.RESPONSE_STARTED, True, SendAction.SEND_END, ExecutionProof.MAY_HAVE_RUN),
        (ByteLocation.RESPONSE_STARTED, False, SendAction.SEND_END, ExecutionProof.MAY_HAVE_RUN),
    ],
)
def test_disposition_follows_the_table(location, is_exclusive, action, proof):
    found = choose_disposition(location, is_exclusive)
    assert (found.action, found.proof) == (action, proof)
