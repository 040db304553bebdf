"""Slopes for the capacity page: cost against services, upstreams and settings.

Run `python -m benchmarks.slopes`; it prints one JSON object a line. Nothing
here has a bound. Figures of the real control process against upstreams come
from two hosts on loopback.
"""

import asyncio
import json
import resource
import tempfile
import time
from pathlib import Path
from typing import Any

import fire

from amaranthbend.core.actions import AttemptResult, AttemptStatus, Member, RequestInfo, WorkClass
from amaranthbend.core.departures import Departure, Departures
from amaranthbend.core.dispatching import Dispatcher
from amaranthbend.core.envelope import (
    SettingsEnvelope,
    Signature,
    compute_digest,
    dump_canonical,
    dump_envelope,
)
from amaranthbend.core.policy import ProbePolicy, ServicePolicy
from amaranthbend.settings.acceptance import Approvers, accept_document
from amaranthbend.settings.approvals import create_key, sign_envelope

from .control_cost import measure_cost

__all__ = ["main"]

DEPLOYMENT = "slopes"
ROUTES_PER_SERVICE = 2
REPEATS = 5


def make_settings(services: int) -> dict[str, Any]:
    """Return merged settings with a number of services."""
    names = [f"service-{number}" for number in range(services)]
    return {
        "deployment": DEPLOYMENT,
        "services": {name: {"slots_per_upstream": 6} for name in names},
        "routes": {
            f"{name}-{part}": {
                "path_prefix": f"/{name}/{part}",
                "methods": ["GET"],
                "service": name,
            }
            for name in names
            for part in range(ROUTES_PER_SERVICE)
        },
    }


def measure_acceptance(services: int) -> dict[str, Any]:
    """Measure the acceptance of one change by one process."""
    key = create_key("legal-1").unwrap()
    merged = make_settings(services)
    envelope = SettingsEnvelope(DEPLOYMENT, 1, "", compute_digest((), merged), (), merged, ())
    signature: Signature = sign_envelope(envelope, key)
    document = json.loads(json.dumps(dump_envelope(envelope._replace(signatures=(signature,)))))
    approvers = Approvers(DEPLOYMENT, {"legal-1": key.public_key}, 1)
    times: list[float] = []
    for _ in range(REPEATS):
        start = time.process_time()
        _decision, accepted = accept_document(None, document, approvers, 0.0)
        times.append(time.process_time() - start)
        assert accepted is not None
    return {
        "slope": "acceptance",
        "services": services,
        "envelope_bytes": len(dump_canonical(document)),
        "cpu_ms": round(min(times) * 1000, 2),
    }


def measure_choice(upstreams: int, rounds: int = 2000) -> dict[str, Any]:
    """Measure the processor time of one request in the Dispatcher, and its memory."""
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    dispatcher = Dispatcher(ServicePolicy("desk", 6), ProbePolicy(), "dc0", 1, processes=14)
    members = [Member(f"u{n}", f"u{n}", f"dc{n % 4}", 1) for n in range(upstreams)]
    dispatcher.set_members(members, 0.0)
    answered = AttemptResult(AttemptStatus.ANSWERED, 200)
    start = time.process_time()
    for number in range(rounds):
        now = number * 0.002
        request = RequestInfo(number, "r", True, WorkClass.SHORT, now + 5.0)
        dispatcher.submit(request, now)
        dispatcher.finish(number, 1, answered, now + 0.001)
    cpu_us = (time.process_time() - start) / rounds * 1e6
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return {
        "slope": "choice",
        "upstreams": upstreams,
        "cpu_us": round(cpu_us, 1),
        "grown_kib": after - before,
    }


def measure_departures(count: int) -> dict[str, Any]:
    """Measure one hash of the departures, as each exchange between hosts computes it."""
    departures = Departures()
    departures.set_listed_incarnations({("desk", f"u{n}"): 1 for n in range(count)}, 0.0)
    for number in range(count):
        departures.add(Departure("desk", f"u{number}", 1), 0.0)
    start = time.process_time()
    departures.compute_hash()
    return {
        "slope": "departures",
        "departures": count,
        "cpu_ms": round((time.process_time() - start) * 1000, 3),
    }


def measure_control(upstreams: int, duration_s: float) -> dict[str, Any]:
    """Measure the control processes of two hosts with a number of upstreams."""
    with tempfile.TemporaryDirectory() as folder:
        cost = asyncio.run(measure_cost(Path(folder), 2, duration_s, upstreams))
    figures = {name: round(value, 4) for name, value in cost._asdict().items()}
    return {"slope": "control", "upstreams": upstreams, **figures}


def run(duration_s: float = 10.0) -> None:
    """Run all measurements and print them.

    Parameters
    ----------
    duration_s : float
        Length of each measurement of control processes.
    """
    for services in (2, 20, 200, 820):
        print(json.dumps(measure_acceptance(services)), flush=True)
    for upstreams in (7, 35, 100, 350):
        print(json.dumps(measure_choice(upstreams)), flush=True)
    for count in (10, 100, 1000):
        print(json.dumps(measure_departures(count)), flush=True)
    for upstreams in (35, 350, 1400, 5600):
        print(json.dumps(measure_control(upstreams, duration_s)), flush=True)


def main() -> None:
    """Run from the command line."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
