"""State of the control process of a host, kept in memory only."""

import asyncio
import json
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from ..adapters.host_list import HostList, PlatformHost
from ..adapters.logs import log_event
from ..adapters.platform import Counters
from ..core.actions import Member, UpstreamState
from ..core.departures import Departure, Departures
from ..core.envelope import SettingsEnvelope
from ..core.envelope_decisions import EnvelopeDecision, EnvelopeVerdict
from ..core.policy import DeploymentPolicy
from ..rpc.messages import MembersByService
from ..settings.acceptance import Approvers, accept_document

__all__ = ["ENTRY_ROLE", "HostState"]

ENTRY_ROLE = "entry"
LEAVING_STATE = "leaving"
# Successive polls with an older host list that are ignored before it is accepted. A lagging replica
# catches up sooner; a platform that lost its revisions never does.
MAX_OLDER_LISTS_IGNORED = 15
# Rejected envelopes that are remembered, so that they are not fetched from peers again.
MAX_REJECTED_ENVELOPES = 64


class HostState:
    """Settings in force, host list and departures; notifies subscribers of each change.

    Parameters
    ----------
    host_id : str
        Identifier of this host.
    approvers : Approvers
        Approvers whose signatures on settings are accepted.
    counters : Counters
        Receives the counters.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        host_id: str,
        approvers: Approvers,
        counters: Counters,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.host_id = host_id
        self.envelope: SettingsEnvelope | None = None
        self.policy: DeploymentPolicy | None = None
        # When the platform last answered with a host list, None if it never did.
        self.platform_list_received_at: float | None = None
        self.host_list: HostList | None = None
        self.members: MembersByService = {}
        self.departures = Departures()
        self._approvers = approvers
        self._rejected: dict[tuple[str, str], None] = {}
        self._counters = counters
        self._clock = clock
        self._older_list_count = 0
        self._subscribers: set[asyncio.Event] = set()

    @property
    def serial(self) -> int:
        """Serial of the settings in force, 0 without settings."""
        return 0 if self.envelope is None else self.envelope.serial

    @property
    def digest(self) -> str:
        """Digest of the settings in force, empty without settings."""
        return "" if self.envelope is None else self.envelope.digest

    @property
    def host_list_revision(self) -> int:
        """Revision of the host list in use, -1 without one."""
        return -1 if self.host_list is None else self.host_list.revision

    @contextmanager
    def subscribe(self) -> Iterator[asyncio.Event]:
        """Return a context with an event that is set on each change."""
        event = asyncio.Event()
        self._subscribers.add(event)
        try:
            yield event
        finally:
            self._subscribers.discard(event)

    def offer_settings(self, document: Any, source: str) -> bool:
        """Put an envelope in force if it is valid and newer.

        Parameters
        ----------
        document : Any
            Envelope as JSON bytes or as a JSON value.
        source : str
            Where the envelope comes from: `platform`, `peer:<target>` or `entry:<process id>`.

        Returns
        -------
        bool
            Whether the envelope was put in force.
        """
        document = parse_json(document)
        if self.envelope is not None and self._is_in_force(document):
            return False
        decision, accepted = accept_document(
            self.envelope, document, self._approvers, self._clock()
        )
        if decision.verdict is EnvelopeVerdict.REJECTED:
            self._reject(document, decision, source)
        if accepted is None:
            return False
        self.envelope, self.policy = accepted
        self._counters.incr("settings.accepted")
        log_event("settings_accepted", source=source, serial=self.serial, digest=self.digest)
        self._notify()
        return True

    def was_rejected(self, digest: str, source: str) -> bool:
        """Return whether an envelope with this digest from this source was rejected.

        Rejections are kept by source, since another source may have the same settings with valid
        approvals.
        """
        return (digest, source) in self._rejected

    def _is_in_force(self, document: Any) -> bool:
        if not isinstance(document, dict):
            return False
        return (document.get("serial"), document.get("digest")) == (self.serial, self.digest)

    def _reject(self, document: Any, decision: EnvelopeDecision, source: str) -> None:
        self._counters.incr(f"settings.rejected.{decision.reason}")
        log_event(
            "settings_rejected",
            source=source,
            reason=decision.reason,
            held_serial=self.serial,
            error=decision.message,
        )
        digest = document.get("digest") if isinstance(document, dict) else None
        if not isinstance(digest, str):
            return
        self._rejected[digest, source] = None
        if len(self._rejected) > MAX_REJECTED_ENVELOPES:
            del self._rejected[next(iter(self._rejected))]

    def offer_host_list(self, host_list: HostList, source: str = "platform") -> bool:
        """Replace the host list in use if this one is newer, or if older ones keep coming.

        Parameters
        ----------
        host_list : HostList
            Host list.
        source : str
            `platform` or `peer`.

        Returns
        -------
        bool
            Whether it replaced the one in use.
        """
        if source == "platform":
            self.platform_list_received_at = self._clock()
        if self._should_ignore(host_list):
            return False
        self._older_list_count = 0
        self.host_list = host_list
        self.members = group_members(host_list)
        self._update_departures(host_list)
        self._notify()
        return True

    def add_departures(self, departures: Iterable[Departure]) -> bool:
        """Store departures.

        Returns
        -------
        bool
            Whether any of them was not known.
        """
        now = self._clock()
        new_departures = [
            departure for departure in departures if self.departures.add(departure, now)
        ]
        for departure in new_departures:
            self._counters.incr("departures.learned")
            log_event("upstream_departed", **departure._asdict())
        if new_departures:
            self._notify()
        return bool(new_departures)

    def list_peers(self) -> list[PlatformHost]:
        """Return the other entry hosts that run a control process."""
        if self.host_list is None:
            return []
        return [
            host
            for host in self.host_list.hosts
            if host.role == ENTRY_ROLE and host.control_port and host.id != self.host_id
        ]

    def _should_ignore(self, host_list: HostList) -> bool:
        if self.host_list is None:
            return False
        if host_list.revision == self.host_list.revision:
            self._older_list_count = 0
            return True
        if not host_list.hosts:
            # An outdated list is safer than an empty one, with which every request is refused.
            self._counters.incr("host_list.empty")
            return True
        if host_list.revision > self.host_list.revision:
            return False
        self._counters.incr("host_list.older")
        self._older_list_count += 1
        return self._older_list_count <= MAX_OLDER_LISTS_IGNORED

    def _update_departures(self, host_list: HostList) -> None:
        upstreams = [host for host in host_list.hosts if host.role != ENTRY_ROLE]
        present = {(host.role, host.id): host.incarnation for host in upstreams}
        self.departures.set_listed_incarnations(present, self._clock())
        self.add_departures(
            Departure(host.role, host.id, host.incarnation)
            for host in upstreams
            if host.state == LEAVING_STATE
        )

    def _notify(self) -> None:
        for event in self._subscribers:
            event.set()


def parse_json(document: Any) -> Any:
    """Return the JSON value of bytes, None if they are malformed; return other values unchanged."""
    if not isinstance(document, bytes):
        return document
    try:
        return json.loads(document)
    except (ValueError, RecursionError):
        return None


def group_members(host_list: HostList) -> MembersByService:
    """Return the upstreams of each service in a host list."""
    members: dict[str, list[Member]] = {}
    for host in host_list.hosts:
        if host.role == ENTRY_ROLE:
            continue
        state = UpstreamState.DRAINING if host.state == LEAVING_STATE else UpstreamState.SERVING
        address = f"{host.address}:{host.port}"
        member = Member(host.id, address, host.data_centre, host.incarnation, state)
        members.setdefault(host.role, []).append(member)
    return {service: tuple(service_members) for service, service_members in members.items()}
