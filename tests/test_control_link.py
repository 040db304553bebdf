import asyncio
from collections.abc import Callable
from pathlib import Path

from amaranthbend.adapters.control_link import ControlLink, LinkCallbacks
from amaranthbend.core.departures import Departure
from amaranthbend.core.envelope import SettingsEnvelope
from amaranthbend.rpc.control_pb2 import ControlUpdate
from amaranthbend.rpc.messages import MembersByService
from standins.control_hosts import ControlHosts, make_envelope, run_control_hosts
from standins.processes import Endpoint


class Receiver:
    """Minimal entry process: a control link, and what was received on it."""

    def __init__(self, target: Endpoint) -> None:
        self.envelope: SettingsEnvelope | None = None
        self.members: MembersByService = {}
        self.departures: list[Departure] = []
        self.shares: list[tuple[float, float]] = []
        callbacks = LinkCallbacks(
            self.set_envelope,
            self.set_members,
            self.departures.extend,
            lambda share, valid_for_s: self.shares.append((share, valid_for_s)),
        )
        self.link = ControlLink(str(target), "entry-0", callbacks, lambda: self.envelope)

    def set_envelope(self, envelope: SettingsEnvelope) -> None:
        """Accept an envelope as the one in force."""
        self.envelope = envelope

    def set_members(self, members: MembersByService) -> None:
        """Replace the members."""
        self.members = members

    async def wait_for(self, condition: Callable[[], object], timeout_s: float = 10.0) -> None:
        """Wait until the condition holds."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)


async def follow_restart(hosts: ControlHosts) -> None:
    """Publish settings, restart the control process in an outage, and check both sides' state."""
    receiver = Receiver(hosts.target(0))
    running = asyncio.create_task(receiver.link.run())
    await receiver.wait_for(lambda: receiver.envelope and receiver.members)
    assert receiver.envelope is not None and receiver.envelope.serial == 1
    assert [m.upstream for m in receiver.members["adopt-desk"]] == ["desk-0", "desk-1", "desk-2"]
    second = make_envelope(2)
    hosts.publish(second)
    await receiver.wait_for(lambda: receiver.envelope == second)

    hosts.set_faults(outage="unavailable")
    hosts.processes[0].kill()
    await asyncio.to_thread(hosts.start)
    text = "event=settings_accepted source=entry:entry-0 serial=2"
    await asyncio.to_thread(hosts.wait_for_log, 0, text)
    receiver.link.report_departures([Departure("adopt-desk", "desk-0", 1)])
    await receiver.wait_for(lambda: receiver.departures)
    assert receiver.members
    running.cancel()


def test_restart_without_platform(tmp_path: Path) -> None:
    """Guards against settings or members lost when the control process restarts in an outage."""
    with run_control_hosts(tmp_path, 1) as hosts:
        hosts.publish(make_envelope(1))
        hosts.start()
        asyncio.run(follow_restart(hosts))


def test_failed_call_consumes_no_report_of_the_next() -> None:
    """Guards against an envelope or departure lost to a call that has already failed.

    grpcio does not close the request iterator of a failed call, so two can wait for reports.
    """

    async def check() -> None:
        receiver = Receiver(Endpoint(("127.0.0.1", 1)))
        receiver.envelope = make_envelope(3)
        failed, current = receiver.link.generate_reports(), receiver.link.generate_reports()
        await anext(failed)
        await anext(current)
        receiver.link.report_departures([Departure("adopt-desk", "desk-0", 1)])
        receiver.link.handle_update(ControlUpdate(send_envelope=True))
        async with asyncio.timeout(5):
            assert [report async for report in failed] == []
        report = await anext(current)
        assert report.envelope
        assert len(report.departures) == 1

    asyncio.run(check())
