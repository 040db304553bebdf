"""Command line program of operators: check, compare, approve and publish the settings."""

import asyncio
import random
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import fire
from absl import logging
from result import Err, Result

from ..adapters.http_client import make_http_client
from ..adapters.logs import log_event
from ..adapters.metrics import Counters
from ..adapters.platform import PlatformClient
from ..core.backoff import Backoff
from ..core.envelope import SettingsEnvelope
from ..core.errors import SettingsError
from ..settings.approvals import (
    ApproverKey,
    create_key,
    load_key,
    save_key,
    sign_envelope,
    verify_envelope,
    write_approval,
)
from ..settings.effects import describe_effect
from ..settings.fleet import format_fleet_status
from ..settings.folder import (
    CheckedFolder,
    FolderSnapshot,
    check_folder,
    make_candidate,
    read_folder,
)
from ..settings.operator_settings import OperatorSettings, load_operator_settings
from ..settings.publishing import (
    Base,
    Publication,
    PublishStatus,
    collect_approvals,
    is_in_force,
    read_base,
)
from ..settings.watching import Publish, publish_folder, watch_folder
from .explanation import explain_request, join_repeated_flag
from .history import load_history
from .invocations import Invocation, exit_with_errors, run_invocation, unwrap_or_exit

__all__ = ["main"]

T = TypeVar("T")

COUNTER_PREFIX = "amaranthbend.operator"
STATUS_KIND = "status"
SUCCESS_STATUSES = (PublishStatus.PUBLISHED, PublishStatus.IN_FORCE)


def keygen(key_id: str, out: str) -> Invocation:
    """Create the key file of an approver and print the public key.

    Parameters
    ----------
    key_id : str
        Name of the key, such as legal-1.
    out : str
        Path of the new key file, which only its owner can read.
    """
    return Invocation(lambda: _keygen(key_id, Path(str(out))))


def check(settings: str) -> Invocation:
    """Merge and validate the settings files without contacting the platform; print all problems.

    Parameters
    ----------
    settings : str
        Path of the operator settings.
    """
    return Invocation(lambda: _check(_load_settings(settings)))


def diff(settings: str) -> Invocation:
    """Show how publishing the settings files would change each route and service.

    Parameters
    ----------
    settings : str
        Path of the operator settings.
    """
    return Invocation(lambda: _diff(_load_settings(settings)))


def approve(settings: str, key: str, yes: bool = False, renew: bool = False) -> Invocation:
    """Show what publishing would change, then write an approval file into the settings folder.

    Parameters
    ----------
    settings : str
        Path of the operator settings.
    key : str
        Path of the approver's key file.
    yes : bool
        Write the approval without asking for confirmation.
    renew : bool
        Approve settings that are already in force, as needed after a change of approver keys.
    """
    return Invocation(
        lambda: _approve(_load_settings(settings), Path(str(key)), yes is True, renew is True)
    )


def publish(settings: str, watch: bool = False) -> Invocation:
    """Publish the settings files to the platform if they have enough valid approvals.

    Parameters
    ----------
    settings : str
        Path of the operator settings.
    watch : bool
        Keep running and publish after each change in the folder, until SIGTERM or SIGINT.
    """
    run = _watch if watch is True else _publish
    return Invocation(lambda: run(_load_settings(settings)))


def status(settings: str) -> Invocation:
    """Show the settings on the platform, the state of the folder and which hosts use them.

    Parameters
    ----------
    settings : str
        Path of the operator settings.
    """
    return Invocation(lambda: _status(_load_settings(settings)))


def history(request_id: str, *files: str) -> Invocation:
    """Show log lines of node processes about a request and about the upstreams that it used.

    Parameters
    ----------
    request_id : str
        Request id, set by the caller.
    *files : str
        Paths of log files, one for each process.
    """
    return Invocation(lambda: _history(request_id, [Path(file) for file in files]))


def explain(
    admin: str,
    path: str,
    method: str = "GET",
    header: str = "",
    team: str = "",
    json: bool = False,
) -> Invocation:
    """Show where a node process would send a request now, and why, without sending it.

    Parameters
    ----------
    admin : str
        `ADDRESS:PORT` of the administration API of the node process.
    path : str
        Path of the request.
    method : str
        HTTP method of the request.
    header : str
        Header field `NAME:VALUE` of the request; may be given several times.
    team : str
        Name of the caller's team, never its key; by default the request carries no key.
    json : bool
        Print the answer as JSON.
    """
    return Invocation(lambda: explain_request(admin, path, method, header, team, json is True))


COMMANDS = {
    "keygen": keygen,
    "check": check,
    "diff": diff,
    "approve": approve,
    "publish": publish,
    "status": status,
    # Fire would convert a request id that looks like a number.
    "history": fire.decorators.SetParseFn(str)(history),
    "explain": fire.decorators.SetParseFns(admin=str, path=str, method=str, header=str, team=str)(
        explain
    ),
}


def main() -> None:
    """Run one command from the command line."""
    logging.set_verbosity(logging.INFO)
    # Fire keeps only the last value of a flag that is given several times.
    command = join_repeated_flag(sys.argv[1:], "--header")
    invocation = fire.Fire(COMMANDS, command, name="amaranthbend", serialize=_serialize_result)
    if isinstance(invocation, Invocation):
        run_invocation(invocation)


def _serialize_result(component: Any) -> Any:
    """Return what Fire prints for a result: nothing for a command, which prints by itself."""
    return None if isinstance(component, Invocation) else component


def _load_settings(path: str) -> OperatorSettings:
    return unwrap_or_exit(load_operator_settings(Path(str(path))))


def _keygen(key_id: object, out: Path) -> None:
    # Fire converts a name that looks like a number.
    key = unwrap_or_exit(create_key(str(key_id)))
    unwrap_or_exit(save_key(key, out))
    print(f"wrote the private key to {out}; keep it secret and outside the settings folder")
    print("add this line to approver_keys in the process settings and in the operator settings:")
    print(f'  "{key.key_id}": "{key.public_key}",')


def _read_checked_folder(settings: OperatorSettings) -> tuple[FolderSnapshot, CheckedFolder]:
    snapshot = unwrap_or_exit(read_folder(settings.folder))
    for name in snapshot.ignored:
        log_event("file_ignored", file=name, valid="*.jsonc, *.approval.json")
    return snapshot, unwrap_or_exit(check_folder(snapshot, settings.deployment))


def _check(settings: OperatorSettings) -> None:
    _, checked = _read_checked_folder(settings)
    print("files in merge order: " + ", ".join(entry.name for entry in checked.manifest))
    value = checked.merged.value
    print(f"valid: {len(value['services'])} services, {len(value['routes'])} routes")


def _make_platform_client(settings: OperatorSettings, counters: Counters) -> PlatformClient:
    # Unlike other HTTP clients, this one ignores proxies set in environment variables.
    http_client = make_http_client()
    return PlatformClient(settings.platform_url, http_client, counters)


def _run_with_platform(
    settings: OperatorSettings,
    operation: Callable[[PlatformClient, Counters], Coroutine[Any, Any, T]],
) -> T:
    """Run an operation that calls the platform, in a new event loop; then send the counters."""

    async def run() -> T:
        counters = Counters(settings.statsd_target, COUNTER_PREFIX)
        try:
            return await operation(_make_platform_client(settings, counters), counters)
        finally:
            counters.flush()

    return asyncio.run(run())


def _read_base(settings: OperatorSettings) -> Base:
    return unwrap_or_exit(
        _run_with_platform(settings, lambda store, _: read_base(store, settings.deployment))
    )


def _print_effect(settings: OperatorSettings, base: Base) -> SettingsEnvelope:
    """Print what publishing the folder would change, and return the unsigned envelope."""
    _, checked = _read_checked_folder(settings)
    candidate = make_candidate(checked, settings.deployment, base.envelope)
    _log_unconfirmed_base(settings, base)
    for line in describe_effect(base.envelope, candidate, checked.merged.origins):
        print(line)
    return candidate


def _log_unconfirmed_base(settings: OperatorSettings, base: Base) -> None:
    """Log an event if the envelope on the platform lacks valid approvals by the present keys.

    This is the case after a change of approver keys.
    """
    if base.envelope is None:
        return
    verified = verify_envelope(base.envelope, settings.approver_keys, settings.required_approvals)
    if isinstance(verified, Err):
        log_event("base_not_confirmed", problem=verified.err_value)


def _diff(settings: OperatorSettings) -> None:
    _print_effect(settings, _read_base(settings))


def _approve(settings: OperatorSettings, key_path: Path, yes: bool, renew: bool) -> None:
    key = unwrap_or_exit(load_key(key_path))
    _check_key_is_approver(settings, key)
    base = _read_base(settings)
    candidate = _print_effect(settings, base)
    if is_in_force(base, candidate) and not renew:
        exit_with_errors(
            "nothing to approve: the settings in the folder are already in force; add --renew to "
            "approve them again after a change of keys"
        )
    if not yes:
        _confirm(candidate.serial)
    signature = sign_envelope(candidate, key)
    path = unwrap_or_exit(write_approval(settings.folder, candidate, signature))
    print(f"wrote the approval to {path}; a change of any settings file invalidates it")


def _check_key_is_approver(settings: OperatorSettings, key: ApproverKey) -> None:
    if settings.approver_keys.get(key.key_id) == key.public_key:
        return
    known = ", ".join(sorted(settings.approver_keys))
    exit_with_errors(
        f"key {key.key_id!r} with public key {key.public_key} is not in approver_keys of the "
        f"operator settings (valid: {known}); use one of those keys, or add this key there and in "
        "the process settings"
    )


def _confirm(serial: int) -> None:
    if not sys.stdin.isatty():
        exit_with_errors(
            "not approved: standard input is not a terminal, so it cannot be confirmed; review "
            "the output of diff, then add --yes"
        )
    answer = input(f"type {serial} to approve this change: ")
    if answer.strip() != str(serial):
        exit_with_errors("not approved: the answer is not the serial of this change")


def _make_backoff() -> Backoff:
    return Backoff(random.random)


def _make_publisher(
    settings: OperatorSettings, store: PlatformClient, counters: Counters
) -> Publish:
    async def publish_snapshot(snapshot: Result[FolderSnapshot, SettingsError]) -> Publication:
        publication = await publish_folder(store, settings, snapshot, _make_backoff())
        counters.incr(f"publish.{publication.status}")
        # A watch runs until it is stopped, so it sends its few counters after each publication.
        counters.flush()
        return publication

    return publish_snapshot


def _publish(settings: OperatorSettings) -> None:
    async def run(store: PlatformClient, counters: Counters) -> Publication:
        return await _make_publisher(settings, store, counters)(read_folder(settings.folder))

    publication = _run_with_platform(settings, run)
    _report_publication(publication)
    if publication.status not in SUCCESS_STATUSES:
        raise SystemExit(1)


def _report_publication(publication: Publication) -> None:
    """Log the status of a publication, and each of its messages as a separate line."""
    log_event("publish", status=publication.status, messages=len(publication.messages))
    for message in publication.messages:
        log_event("publish_message", text=message)


def _watch(settings: OperatorSettings) -> None:
    async def run(store: PlatformClient, counters: Counters) -> None:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopped.set)

        log_event("watch_started", folder=settings.folder)
        await watch_folder(
            settings.folder,
            settings.watch_interval_s,
            _make_publisher(settings, store, counters),
            _report_publication,
            _make_backoff(),
            stopped,
        )
        log_event("watch_stopped")

    _run_with_platform(settings, run)


def _status(settings: OperatorSettings) -> None:
    base = _read_base(settings)
    _print_base(settings, base)
    _print_folder(settings, base)
    report = _run_with_platform(
        settings, lambda store, _: store.get(STATUS_KIND, settings.deployment)
    )
    if isinstance(report, Err):
        print(f"fleet: cannot read the status from the platform ({report.err_value})")
        return
    serial = base.envelope.serial if base.envelope is not None else 0
    for line in format_fleet_status(report.ok_value.value, serial):
        print(line)


def _print_base(settings: OperatorSettings, base: Base) -> None:
    envelope = base.envelope
    if envelope is None:
        print("platform: no settings yet")
        return
    signers = ", ".join(signature.key_id for signature in envelope.signatures)
    print(f"platform: serial={envelope.serial} digest={envelope.digest} approved_by={signers}")
    _log_unconfirmed_base(settings, base)


def _print_folder(settings: OperatorSettings, base: Base) -> None:
    snapshot, checked = _read_checked_folder(settings)
    unsigned = make_candidate(checked, settings.deployment, base.envelope)
    candidate = collect_approvals(unsigned, snapshot.approvals, settings.approver_keys)
    if is_in_force(base, unsigned):
        print("folder: same settings as on the platform")
        return
    count = len(candidate.envelope.signatures)
    print(f"folder: differs, approvals={count} required={settings.required_approvals}")
    for note in candidate.notes:
        print(f"folder: {note}")


def _history(request_id: str, files: list[Path]) -> None:
    for line in unwrap_or_exit(load_history(request_id, files)):
        print(f"{line.source}: {line.text}")


if __name__ == "__main__":
    main()
