import asyncio
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from amaranthbend.adapters.control_link import ControlLink, LinkCallbacks
from amaranthbend.core.departures import Departure
from standins.control_hosts import ControlHosts, make_envelope, run_control_hosts
from standins.http import Answer, call, call_json
from standins.processes import wait_until

IN_FORCE_S = 7.0
DEPARTURE_KNOWN_S = 3.0


@pytest.fixture
def hosts(tmp_path: Path) -> Iterator[ControlHosts]:
    """Yield three hosts with settings on the platform; no control process is running."""
    with run_control_hosts(tmp_path, 3) as running:
        running.publish(make_envelope(1))
        yield running


def call_admin(hosts: ControlHosts, number: int, path: str) -> Answer:
    """Return the answer of a control process's administration API."""
    return call(hosts.admin_endpoints[number], path)


def read_serial(hosts: ControlHosts, number: int) -> int:
    """Return the serial in force in a control process."""
    return int(call_admin(hosts, number, "/configz").load_json()["serial"])


def read_counter(hosts: ControlHosts, number: int, name: str) -> int:
    """Return a counter of a control process."""
    return int(call_admin(hosts, number, "/counterz").load_json()["counters"].get(name, 0))


def read_object(hosts: ControlHosts, kind: str, name: str) -> Any:
    """Return the value of an object, None if it does not exist."""
    answer = call(hosts.platform_endpoint, f"/objects/{kind}/{name}")
    return answer.load_json()["value"] if answer.status == 200 else None


def test_fresh_host_learns_from_peers(hosts: ControlHosts) -> None:
    """Guards against a new host that cannot serve while the platform is down."""
    hosts.start([0, 1])
    hosts.platform.kill()
    hosts.start([2])
    wait_until(lambda: call_admin(hosts, 2, "/readyz").status == 200, IN_FORCE_S, "ready")
    assert read_serial(hosts, 2) == 1
    upstreams = call_admin(hosts, 2, "/upstreamz").load_json()["adopt-desk"]
    assert [entry["upstream"] for entry in upstreams] == ["desk-0", "desk-1", "desk-2"]


def test_fresh_host_alone_is_not_ready(hosts: ControlHosts) -> None:
    """Guards against a host that serves without settings."""
    hosts.platform.kill()
    hosts.start([0])
    answer = call_admin(hosts, 0, "/readyz")
    assert (answer.status, call_admin(hosts, 0, "/livez").status) == (503, 200)
    assert b"no settings" in answer.body


def test_settings_never_go_back(hosts: ControlHosts) -> None:
    """Guards against older, altered or unapproved settings being put in force."""
    hosts.publish(make_envelope(5))
    hosts.start()
    altered = make_envelope(6)._replace(merged={"deployment": "eeslikoda"})
    unsigned = make_envelope(7)._replace(signatures=())
    for envelope, reason in [
        (make_envelope(4), "lower_serial"),
        (make_envelope(5, entry_hosts_max=3), "conflicting_digest"),
        (altered, "wrong_digest"),
        (unsigned, "too_few_approvals"),
    ]:
        hosts.publish(envelope)
        for number in range(3):
            name = f"settings.rejected.{reason}"
            wait_until(lambda n=number, c=name: read_counter(hosts, n, c), IN_FORCE_S, name)
            assert read_serial(hosts, number) == 5


def test_new_settings_after_an_outage(hosts: ControlHosts) -> None:
    """Guards against hosts that get new settings late because their retries have backed off."""
    hosts.start()
    hosts.set_faults(outage="hang")
    time.sleep(3.0)
    hosts.set_faults(outage="unavailable")
    time.sleep(8.0)
    hosts.set_faults(outage="none")
    hosts.publish(make_envelope(2))
    for number in range(3):
        wait_until(lambda n=number: read_serial(hosts, n) == 2, IN_FORCE_S, "in force")


async def measure_departure_time(hosts: ControlHosts) -> float:
    """Report a departure on the first host; return the seconds until all three hosts know it."""
    received: dict[int, list[Departure]] = {0: [], 1: [], 2: []}
    links = []
    for number, departures in received.items():
        callbacks = LinkCallbacks(
            lambda _envelope: None,
            lambda _members: None,
            departures.extend,
            lambda _share, _valid_for_s: None,
        )
        links.append(ControlLink(str(hosts.target(number)), "entry-0", callbacks, lambda: None))
    tasks = [asyncio.create_task(link.run()) for link in links]
    async with asyncio.timeout(20):
        while not all(link.connected for link in links):
            await asyncio.sleep(0.01)
        started_at = time.monotonic()
        links[0].report_departures([Departure("adopt-desk", "desk-1", 1)])
        while not all(received.values()):
            await asyncio.sleep(0.01)
    for task in tasks:
        task.cancel()
    return time.monotonic() - started_at


def test_departure_reaches_all_hosts_without_platform(hosts: ControlHosts) -> None:
    """Guards against requests that other hosts still send to a leaving upstream."""
    hosts.start()
    hosts.set_faults(outage="unavailable")
    assert asyncio.run(measure_departure_time(hosts)) < DEPARTURE_KNOWN_S


def test_leaving_host_in_list_is_a_departure(hosts: ControlHosts) -> None:
    """Guards against a lagging host list that puts a leaving upstream back in use."""
    hosts.start()
    hosts.hosts[-1]["state"] = "leaving"
    hosts.put_hosts()

    def has_departed(number: int) -> bool:
        upstreams = call_admin(hosts, number, "/upstreamz").load_json()["adopt-desk"]
        return bool(upstreams[-1]["departed"])

    for number in range(3):
        wait_until(lambda n=number: has_departed(n), DEPARTURE_KNOWN_S, "departed")
    hosts.hosts[-1]["state"] = "live"
    hosts.put_hosts()
    time.sleep(DEPARTURE_KNOWN_S)
    assert all(has_departed(number) for number in range(3))
    hosts.hosts[-1]["incarnation"] = 2
    hosts.put_hosts()
    wait_until(lambda: not has_departed(0), DEPARTURE_KNOWN_S, "back with a higher incarnation")


def test_lost_responses_to_lease_writes(hosts: ControlHosts) -> None:
    """Guards against a lease that nobody uses because the response to its creation was lost."""
    hosts.set_faults(lose_responses=-1, lose_kind="leases")
    hosts.start([0])
    for text in ("event=probe_share_held", "event=lease_held lease=fleet-status"):
        hosts.wait_for_log(0, text)
    assert read_counter(hosts, 0, "leases.lost_response") >= 2
    time.sleep(7.0)
    output = hosts.processes[0].read_output()
    assert "event=lease_lost" not in output
    assert "event=probe_share_lost" not in output


def test_paused_lease_holder(hosts: ControlHosts) -> None:
    """Guards against a paused holder that resumes and overwrites the status of its successor."""
    hosts.start([0])
    hosts.wait_for_log(0, "event=lease_held lease=fleet-status")
    wait_until(lambda: read_object(hosts, "status", "eeslikoda"), IN_FORCE_S, "status")
    hosts.start([1])
    hosts.processes[0].pause()
    hosts.wait_for_log(1, "event=lease_held lease=fleet-status", 30.0)
    wait_until(lambda: read_object(hosts, "status", "eeslikoda")["epoch"] == 2, 10.0, "epoch 2")
    hosts.processes[0].resume()
    hosts.wait_for_log(0, "event=lease_lost lease=fleet-status")
    hosts.publish(make_envelope(2))
    wait_until(lambda: read_object(hosts, "status", "eeslikoda")["serial"] == 2, 10.0, "status")
    assert read_object(hosts, "status", "eeslikoda")["epoch"] == 2


def test_stop_releases_task_leases_but_not_the_probe_share(hosts: ControlHosts) -> None:
    """Guards against tasks that pause for a ttl after a planned restart, and a share used twice.

    Entry processes may spend the probe share until it expires, so its lease must not be released.
    """
    hosts.start([0])
    hosts.wait_for_log(0, "event=probe_share_held")
    for task in ("fleet-status", "claim-sweeper"):
        hosts.wait_for_log(0, f"event=lease_held lease={task}")
    hosts.processes[0].terminate()
    hosts.processes[0].terminate()
    assert hosts.processes[0].wait() == 0
    leases = call_json(hosts.platform_endpoint, "/objects/leases")["objects"]
    holders = {entry["name"]: entry["value"]["holder"] for entry in leases}
    assert len(holders) == 3
    assert holders.pop("fleet-status") == holders.pop("claim-sweeper") == ""
    assert next(iter(holders.values())).startswith("host-0.")
