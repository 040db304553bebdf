from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from amaranthbend.core.leases import (
    Fence,
    LeaseMachine,
    LeaseRead,
    LeaseRecord,
    LeaseWait,
    LeaseWrite,
    dump_lease,
    load_lease,
)

TTL_S = 10.0
MARGIN_S = 1.0
HOSTS = st.integers(0, 1)


class Versioned(NamedTuple):
    """Stored object; version 0 stands for a missing object."""

    version: int
    value: LeaseRecord | None


class Call(NamedTuple):
    """A call in progress for a step."""

    step: LeaseRead | LeaseWrite
    started_at: float


class Host:
    """A process with its own clock, one call in progress, and a write to the fenced object."""

    def __init__(self, name: str) -> None:
        self.machine = LeaseMachine(name, TTL_S, MARGIN_S)
        self.fence = Fence()
        self.offset_s = 0.0
        self.call: Call | None = None
        self.answer: Versioned | bool | None = None
        self.fenced_write: tuple[int, int | None] | None = None


class LeaseModel(RuleBasedStateMachine):
    """Hosts that compete for a lease, with calls that are delayed, lost, late or stale.

    A host that executes no step is paused. Any time may pass between the check of the lease and
    the write under it.
    """

    late_writes = Bundle("late_writes")

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.has_jumped = False
        self.history = [Versioned(0, None)]
        self.fenced: list[tuple[int, int]] = [(0, 0)]
        self.hosts = [Host(f"host-{number}") for number in range(2)]
        self.holders: dict[int, str] = {}

    def read_clock(self, host: Host) -> float:
        """Return the time on the host's clock."""
        return self.now + host.offset_s

    def apply(self, write: LeaseWrite) -> Versioned | None:
        """Execute a conditional write; return None for a conflict."""
        if (write.version or 0) != self.history[-1].version:
            return None
        self.history.append(Versioned(self.history[-1].version + 1, write.record))
        if write.record.holder:
            known = self.holders.setdefault(write.record.epoch, write.record.holder)
            assert known == write.record.holder, "two holders of one epoch"
        return self.history[-1]

    @rule(seconds=st.sampled_from([0.5, 4.0, 11.0]))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds

    @rule(number=HOSTS, seconds=st.sampled_from([-30.0, 30.0]))
    def jump_clock(self, number: int, seconds: float) -> None:
        """Set one host's clock forward or back."""
        self.hosts[number].offset_s += seconds
        self.has_jumped = True

    @rule(number=HOSTS, steps=st.integers(1, 3))
    def run_steps(self, number: int, steps: int) -> None:
        """Let a host execute some steps without faults, so that the holder changes often."""
        for _ in range(steps):
            self.start_call(number)
            self.reach_platform(number, 0)
            self.receive_answer(number)

    @rule(number=HOSTS)
    def start_call(self, number: int) -> None:
        """Let a host start its next call."""
        host = self.hosts[number]
        step = host.machine.plan(self.read_clock(host))
        if host.call is None and not isinstance(step, LeaseWait):
            host.call = Call(step, self.read_clock(host))

    @rule(number=HOSTS, stale_by=st.sampled_from([0, 0, 0, 1, 3]))
    def reach_platform(self, number: int, stale_by: int) -> None:
        """Execute a call on the platform; a read may come from a replica that lags behind."""
        host = self.hosts[number]
        if host.call is None or host.answer is not None:
            return
        if isinstance(host.call.step, LeaseWrite):
            host.answer = self.apply(host.call.step) or False
            return
        host.answer = self.history[max(0, len(self.history) - 1 - stale_by)]

    @rule(number=HOSTS)
    def receive_answer(self, number: int) -> None:
        """Deliver the response to a call."""
        host = self.hosts[number]
        call, answer = host.call, host.answer
        if call is None or answer is None:
            return
        host.call = host.answer = None
        if answer is False:
            host.machine.record_write_conflict()
            return
        assert isinstance(answer, Versioned)
        if isinstance(call.step, LeaseWrite):
            host.machine.record_write(call.step, answer.version, call.started_at)
            return
        version = answer.version or None
        host.machine.record_read(answer.value, version, self.read_clock(host))

    @rule(target=late_writes, number=HOSTS)
    def lose_answer(self, number: int) -> LeaseWrite | None:
        """Let a call time out; a write that has not been executed may take effect later."""
        host = self.hosts[number]
        call, answer = host.call, host.answer
        host.call = host.answer = None
        if call is None or isinstance(call.step, LeaseRead):
            return None
        host.machine.record_unknown_write(call.started_at)
        return call.step if answer is None else None

    @rule(write=late_writes)
    def reach_platform_late(self, write: LeaseWrite | None) -> None:
        """Execute a write whose sender no longer waits for the response."""
        if write is not None:
            self.apply(write)

    @rule(number=HOSTS, stale_by=st.sampled_from([0, 0, 1]))
    def prepare_fenced_write(self, number: int, stale_by: int) -> None:
        """Check the lease and read the fenced object, as a holder does before it writes."""
        host = self.hosts[number]
        epoch = host.machine.get_epoch(self.read_clock(host))
        if epoch is None:
            return
        if host.fence.needs_read(epoch):
            version, stored = self.fenced[max(0, len(self.fenced) - 1 - stale_by)]
            if not host.fence.record_read(epoch, version, stored):
                host.machine.record_write_conflict()
                return
        host.fenced_write = (epoch, host.fence.version)

    @rule(number=HOSTS, loses_answer=st.booleans())
    def finish_fenced_write(self, number: int, loses_answer: bool) -> None:
        """Execute the write, perhaps long after the check."""
        host = self.hosts[number]
        if host.fenced_write is None:
            return
        epoch, version = host.fenced_write
        host.fenced_write = None
        if version != self.fenced[-1][0]:
            host.fence.record_write_failure()
            return
        self.fenced.append((self.fenced[-1][0] + 1, epoch))
        if loses_answer:
            host.fence.record_write_failure()
        else:
            host.fence.record_write(self.fenced[-1][0])

    @rule(number=HOSTS)
    def release(self, number: int) -> None:
        """Release the lease, as in a graceful shutdown."""
        host = self.hosts[number]
        step = host.machine.plan_release(self.read_clock(host))
        if step is not None and host.call is None:
            host.call = Call(step, self.read_clock(host))

    @invariant()
    def check_epochs_grow(self) -> None:
        """Check that no write under an earlier epoch succeeds after one under a later epoch."""
        epochs = [epoch for _version, epoch in self.fenced]
        assert epochs == sorted(epochs)

    @invariant()
    def check_one_holder(self) -> None:
        """Check that at most one host trusts its lease at any time, unless a clock jumped."""
        trusting = [h for h in self.hosts if h.machine.get_epoch(self.read_clock(h)) is not None]
        assert self.has_jumped or len(trusting) <= 1


LeaseModel.TestCase.settings = settings(
    max_examples=400, stateful_step_count=50, deadline=None, derandomize=True
)
TestLeaseModel = LeaseModel.TestCase


def test_paused_holder_drops_lease() -> None:
    """Guards against a resumed holder that continues under an epoch that has ended."""
    machine = LeaseMachine("a", TTL_S, MARGIN_S)
    machine.record_read(None, None, 0.0)
    write = machine.plan(0.0)
    assert write == LeaseWrite(LeaseRecord("a", 1, TTL_S), None)
    machine.record_write(write, 1, 0.0)
    assert machine.get_epoch(8.9) == 1
    assert machine.get_epoch(9.0) is None
    assert machine.plan(100.0) == LeaseWrite(LeaseRecord("a", 1, TTL_S), 1)
    machine.record_write_conflict()
    machine.record_read(LeaseRecord("b", 2, TTL_S), 2, 100.0)
    assert machine.get_epoch(100.0) is None
    assert machine.plan(109.9) == LeaseRead()


def hold_lease(machine: LeaseMachine) -> LeaseWrite:
    """Acquire the lease at time 0 as version 1, and return its renewal."""
    machine.record_read(None, None, 0.0)
    write = machine.plan(0.0)
    assert isinstance(write, LeaseWrite)
    machine.record_write(write, 1, 0.0)
    return LeaseWrite(write.record, 1)


def test_stale_read_after_lost_renewal() -> None:
    """Guards against taking an old version for the renewal whose response was lost."""
    machine = LeaseMachine("a", TTL_S, MARGIN_S)
    renewal = hold_lease(machine)
    machine.record_write(renewal, 2, 5.0)
    machine.record_unknown_write(8.0)
    machine.record_read(renewal.record, 1, 8.5)
    assert machine.get_epoch(13.9) == 1
    assert machine.get_epoch(14.0) is None


def test_earliest_lost_renewal_counts() -> None:
    """Guards against counting the validity from the second of two lost renewals.

    Only the first one may have taken effect.
    """
    machine = LeaseMachine("a", TTL_S, MARGIN_S)
    renewal = hold_lease(machine)
    machine.record_unknown_write(4.0)
    machine.record_read(renewal.record, 1, 5.0)
    machine.record_unknown_write(6.0)
    machine.record_read(renewal.record, 2, 7.0)
    assert machine.get_epoch(12.9) == 1
    assert machine.get_epoch(13.0) is None


def test_fence_refuses_later_epoch() -> None:
    """Guards against a resumed holder that adopts the version of its successor."""
    fence = Fence()
    assert fence.record_read(1, 7, 1)
    assert not fence.needs_read(1)
    assert fence.needs_read(2)
    fence.record_write_failure()
    assert not fence.record_read(1, 8, 2)
    assert fence.needs_read(1)


@pytest.mark.parametrize("value", [None, {}, {"holder": "a", "epoch": 1, "ttl_s": 0}])
def test_malformed_lease(value: object) -> None:
    """Guards against a malformed object that is taken for a free lease."""
    with pytest.raises(ValueError, match="valid|use more"):
        load_lease(value)
    record = LeaseRecord("a", 3, 15.0)
    assert load_lease(dump_lease(record)) == record
