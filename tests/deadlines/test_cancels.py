"""The STOPs of one connection and their outcomes."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from umberusher.deadlines.cancels import CANCEL_TIMEOUT_MS, CancelOutcome, PendingCancels


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.sampled_from(["stop", "proof", "HIT", "SHED", "INFO", "late", "close"]), max_size=40
    )
)
def test_every_stop_gets_one_outcome_and_one_probe_is_out_at_a_time(events):
    found, now, number, out, probes = (
        PendingCancels(),
        0.0,
        0,
        [],
        0,
    )  # out: rid, since, whether the probe is behind it
    for event in events:
        now += 60.0
        if event == "stop":
            number += 1
            asks = found.add(str(number), now, number)
            assert asks is (probes == 0)
            probes += asks
            out.append([str(number), now, asks])
        elif event == "proof" and probes:
            done, more = found.confirm_probed()
            assert [each.request_id for each in done] == [rid for rid, _, asked in out if asked]
            out = [[rid, at, more] for rid, at, asked in out if not asked]
            probes = int(more)
            assert more is bool(out)
        elif event in ("HIT", "SHED", "INFO") and out:
            settled = found.resolve(out[0][0], event)
            if event == "INFO":
                assert settled is None
            else:
                assert (
                    settled[1]
                    is {"HIT": CancelOutcome.OVERTOOK, "SHED": CancelOutcome.NEVER_RAN}[event]
                )
                out.pop(0)
        elif event == "late" and out:
            due = found.pop_overdue(out[0][0], now)
            assert (due is not None) is (now - out[0][1] >= CANCEL_TIMEOUT_MS - 1.0)
            out = out[1:] if due else out
        elif event == "close":
            assert [each.request_id for each in found.pop_all()] == [rid for rid, *_ in out]
            out = []
        assert list(found.pending) == [rid for rid, *_ in out]
