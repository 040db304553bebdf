"""Run the whole system on loopback for a few seconds and print what it did."""

import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from standins.deployment import Deployment, Plan
from standins.http import Answer, call

from .traffic import Summary, send_traffic, summarise

SETTINGS = Path(__file__).parent / "settings"
PLAN = Plan(hosts=2, entries=2, upstreams={"adopt-desk": 3, "archive-shelf": 2})
TRAFFIC_S = 4.0
DOWNLOAD_BYTES = 4_000_000
DOWNLOAD_BYTES_PER_S = 800_000
DOWNLOAD_TIMEOUT_S = 20.0


def run(deployment: Deployment) -> bool:
    """Run the demonstration; return whether all of it worked."""
    started_at = time.monotonic()
    deployment.start_outside()
    deployment.start_hosts()
    serial = deployment.publish_settings()
    accepted_at = time.monotonic()
    print(f"settings approved and published as serial {serial}")
    deployment.wait_serial(serial)
    print(f"in force on every host {time.monotonic() - accepted_at:.2f} s after publish returned")
    deployment.wait_ready()

    endpoints = [entry.endpoint for entry in deployment.entries]
    with ThreadPoolExecutor(1) as pool:
        download = pool.submit(download_archive, deployment)
        summary = summarise(send_traffic(endpoints, TRAFFIC_S))
        print_summary(summary)
        # The shutdown starts while the download is on its way, and must let it finish.
        codes = stop_and_report(deployment)
        archive = download.result()
    whole = archive.complete and len(archive.body) == DOWNLOAD_BYTES
    state = "complete" if whole else "cut off"
    print(f"archive download of {DOWNLOAD_BYTES:,} bytes during the shutdown: {state}")
    print(f"exit codes: {', '.join(f'{name} {code}' for name, code in codes.items())}")
    print(f"took {time.monotonic() - started_at:.1f} s")
    return whole and summary.answered > 0 and set(codes.values()) == {0}


def download_archive(deployment: Deployment) -> Answer:
    """Download one archive through the first entry process."""
    path = f"/archives/juku?size={DOWNLOAD_BYTES}&rate={DOWNLOAD_BYTES_PER_S}"
    return call(deployment.entries[0].endpoint, path, timeout_s=DOWNLOAD_TIMEOUT_S)


def print_summary(summary: Summary) -> None:
    """Print the results of the short calls."""
    print(f"short calls: {summary.sent} sent, {summary.answered} answered")
    for cause, count in sorted(summary.others.items()):
        print(f"  {cause}: {count}")
    print(f"  response time p50 {summary.p50_ms:.1f} ms, p99 {summary.p99_ms:.1f} ms")


def stop_and_report(deployment: Deployment) -> dict[str, int]:
    """Print the serial on each host, then stop everything gracefully."""
    for host in deployment.hosts:
        serials = [host.get_serial(entry.admin) for entry in host.entries]
        print(f"{host.id} ({host.data_centre}): serial in force {serials}")
    return deployment.stop_gracefully()


def main() -> int:
    """Run in a temporary folder; return the exit code."""
    with tempfile.TemporaryDirectory(prefix="amaranthbend-demo-") as name:
        return run_in(Path(name))


def run_in(folder: Path) -> int:
    """Run in a folder; return the exit code, and print what the processes said if it is not 0."""
    succeeded = False
    with Deployment(folder, PLAN, SETTINGS) as deployment:
        try:
            succeeded = run(deployment)
        finally:
            if not succeeded:
                print_outputs(deployment)
    return 0 if succeeded else 1


def print_outputs(deployment: Deployment) -> None:
    """Print the end of what each process printed."""
    for process in deployment.processes:
        print(f"--- {process.name}\n{process.read_output()[-1500:]}", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
