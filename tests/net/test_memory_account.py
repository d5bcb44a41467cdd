"""The account of memory that peers make the process hold."""

from __future__ import annotations

from umberusher.net.memory_account import MIN_LIMIT_FRACTION, MemoryAccount


class Holder:
    """A holder that releases a part of its memory when it is called on."""

    def __init__(self, account: MemoryAccount, sheds_bytes: int = 0) -> None:
        self.held_bytes = 0
        self.sheds_bytes = sheds_bytes
        self.shed_count = 0
        self.available_count = 0
        self._account = account

    def shed_memory(self) -> bool:
        released_bytes = min(self.sheds_bytes, self.held_bytes)
        if released_bytes:
            self.shed_count += 1
            self._account.release(self, released_bytes)
        return released_bytes > 0

    def memory_available(self) -> None:
        self.available_count += 1


def account_of(limit_bytes: float) -> MemoryAccount:
    """Return an account in a process that allocates just what is charged."""

    def headroom_bytes() -> float:
        return limit_bytes - (made[0].peak_bytes if made else 0)

    made: list[MemoryAccount] = []
    made.append(MemoryAccount(headroom_bytes, small_bytes=0))
    return made[0]


def test_account_grants_up_to_its_limit_and_counts_what_is_released():
    account = account_of(1_000)
    holder = Holder(account)
    assert account.try_charge(holder, 1_000) and account.used_bytes == holder.held_bytes == 1_000
    assert not account.try_charge(holder, 1) and account.used_bytes == 1_000
    account.release(holder, 400)
    assert account.used_bytes == holder.held_bytes == 600
    account.run()
    assert holder.available_count == 1 and account.try_charge(holder, 400)


def test_account_has_the_largest_holder_release_memory_for_a_smaller_one():
    account = account_of(1_000)
    large, small, waiting = Holder(account, 500), Holder(account, 500), Holder(account)
    account.charge(large, 700)
    account.charge(small, 300)
    assert not account.try_charge(waiting, 100)
    account.run()
    assert (large.shed_count, small.shed_count, waiting.available_count) == (1, 0, 1)
    assert account.try_charge(waiting, 100)


def test_account_calls_on_the_waiting_holder_itself_when_it_holds_most():
    account = account_of(1_000)
    waiting, small = Holder(account, 800), Holder(account, 500)
    account.charge(waiting, 800)
    account.charge(small, 200)
    assert not account.try_charge(waiting, 100)
    account.run()
    assert (waiting.shed_count, small.shed_count) == (1, 0)


def test_account_waits_for_a_release_when_no_holder_can_release_memory():
    account = account_of(1_000)
    busy, waiting = Holder(account), Holder(account)
    account.charge(busy, 1_000)
    assert not account.try_charge(waiting, 100)
    account.run()
    assert not waiting.available_count and not account.is_pending
    account.release(busy, 100)
    assert account.is_pending
    account.run()
    assert waiting.available_count == 1


def test_account_forgets_a_holder_that_stops_waiting():
    account = account_of(1_000)
    busy, waiting = Holder(account), Holder(account)
    account.charge(busy, 1_000)
    assert not account.try_charge(waiting, 100)
    account.stop_waiting(waiting)
    account.release(busy, 1_000)
    account.run()
    assert not waiting.available_count


def test_account_charges_work_in_progress_beyond_the_limit_and_makes_room_after_it():
    account = account_of(1_000)
    large, busy = Holder(account, 900), Holder(account)
    account.charge(large, 900)
    account.charge(busy, 300)
    assert account.used_bytes == 1_200 and account.is_pending
    account.run()
    assert large.shed_count == 1 and account.used_bytes <= 1_000


def test_limit_falls_when_the_process_needs_more_and_never_below_its_floor():
    needed_bytes = 0.0
    account = MemoryAccount(lambda: 1_000_000.0 - needed_bytes)
    account.measure()
    assert account.limit_bytes == 1_000_000
    needed_bytes = 400_000.0
    account.measure()
    assert account.limit_bytes == 600_000
    needed_bytes = 2_000_000.0
    account.measure()
    assert account.limit_bytes == 1_000_000 * MIN_LIMIT_FRACTION


def test_memory_that_was_released_and_is_kept_by_the_allocator_can_be_charged_again():
    resident_bytes = 0.0
    account = MemoryAccount(lambda: 1_000_000.0 - resident_bytes)
    holder = Holder(account)
    account.charge(holder, 900_000)
    resident_bytes = 900_000.0
    account.release(holder, 900_000)
    account.measure()
    assert account.limit_bytes == 1_000_000


def test_account_never_calls_on_small_holders():
    account = MemoryAccount(lambda: 1_000.0, small_bytes=100)
    small = [Holder(account, 100) for _ in range(12)]
    large = Holder(account, 50)
    for each in small:
        account.charge(each, 100)
    account.charge(large, 200)
    account.run()
    assert large.shed_count > 0 and not any(each.shed_count for each in small)
    account.release(large, 200)
    account.run()
    assert account.used_bytes == 1_200 and not any(each.shed_count for each in small)
