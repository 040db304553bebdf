"""A site under soak: node processes, and in this process a store, instances and proxies."""

import asyncio
import signal
import time
from pathlib import Path

from tornado.httpserver import HTTPServer

from amaranthbend.adapters.addresses import split_address
from amaranthbend.controllers.host_directory import HOSTS_KIND_PREFIX
from standins.hostile_callers import Target, hold_group
from standins.instance import ENDLESS_PARTS, Instance
from standins.node_caller import DESK, make_configuration
from standins.node_program import NodeProgram
from standins.processes import pick_endpoint, pick_network
from standins.store import RawJson, StoreState, make_store_app

from .evidence import Arrival, Period, Records
from .plan import COLD_S, Fault, FaultKind, HostileGroup, StoreReturn
from .proxy import LinkState, Proxy
from .team_judge import (
    APPLY_S,
    COLD_OVERSHOOT,
    COLD_SLACK,
    EVACUATION_S,
    QUOTA_OVERSHOOT,
    QUOTA_SLACK,
    QUOTA_WINDOW_S,
)

__all__ = ["DATA_CENTRES", "STORE_MODES", "Site"]

DATA_CENTRES = ("huye", "kaya")
TEAM_SETTINGS = f"""
configApply = "{APPLY_S}s"
evacuation = "{EVACUATION_S}s"
quotaWindow = "{QUOTA_WINDOW_S}s"
quotaOvershoot = {QUOTA_OVERSHOOT}
quotaSlack = {QUOTA_SLACK}
coldOvershoot = {COLD_OVERSHOOT}
coldSlack = {COLD_SLACK}
[network]
internalPortRange = [PORT, {2**16 - 1}]
[network.zones.huye]
[network.zones.kaya]
"""
# Nodes registered so long before the run, so that lagging replicas list them.
REGISTERED_BEFORE_S = 10.0
NODES = 3
INSTANCES = 6
SERVERS_KIND = "servers"
# Time for which a leaving instance still serves, as on the platform.
DRAIN_S = 2.0
SLOW_STORE_S = 0.25
# In each run: an entry of another writer, and replicas that lag behind.
UNREADABLE_ENTRY = RawJson(b'{"slots":' + b"[" * 2000 + b"]" * 2000 + b"}")
REPLICA_LAG_S = 3.0
CLOSE_S = 0.1
# Long enough that a fault meets several requests while they run.
RUN_S = 0.06
SLOW_PERCENT = 800
# A refusal of an earlier request, which need not say which one.
EARLIER_REFUSAL = (503, {"X-Amaranthbend-Not-Executed": "1"})
COPIES = 1000
STORE_MODES = {
    FaultKind.STORE_BUSY: "busy",
    FaultKind.STORE_MANY: "many",
    FaultKind.STORE_RESET: "reset",
    FaultKind.STORE_SILENT: "silent",
}
RESPONSE_FAULTS = frozenset(
    {
        FaultKind.INSTANCE_ENDLESS,
        FaultKind.INSTANCE_REFUSES_AGAIN,
        FaultKind.INSTANCE_ANSWERS_AGAIN,
    }
)
LINK_STATES = {
    FaultKind.LINK_DELAY: LinkState.DELAY,
    FaultKind.LINK_ONE_WAY: LinkState.ONE_WAY,
    FaultKind.LINK_SILENT: LinkState.SILENT,
}


class Site:
    """Starts everything, and lets faults strike.

    Parameters
    ----------
    folder : Path
        Where settings and logs of the nodes lie.
    has_teams : bool
        Whether there are two data centres, and the nodes have the bounds of teams.
    """

    def __init__(self, folder: Path, *, has_teams: bool = False) -> None:
        self.records = Records()
        self.address = f"{pick_network()}.1"
        self.store = StoreState()
        self._has_teams = has_teams
        centres = DATA_CENTRES if has_teams else DATA_CENTRES[:1]
        self.instances = [
            Instance(f"i-{n}", DESK, centres[n % len(centres)]) for n in range(INSTANCES)
        ]
        self.nodes: list[NodeProgram] = []
        for number in range(NODES):
            port = pick_endpoint(self.address).port
            settings = TEAM_SETTINGS.replace("PORT", str(port)) if has_teams else ""
            centre = centres[number % len(centres)]
            node = NodeProgram(folder, self.address, f"host-{number}", settings, centre)
            self.nodes.append(node)
            if has_teams:
                entry = {"data_centre": centre, "peer_address": f"{self.address}:{port}"}
                registered_at = time.monotonic() - REGISTERED_BEFORE_S
                self.store.objects.write(f"hosts-{centre}", node.name, entry, registered_at)
        # One proxy before each instance; its address is the one that is registered.
        self.links: list[Proxy] = []
        self._server = HTTPServer(make_store_app(self.store))

    async def start(self) -> None:
        """Start, and wait until all nodes are ready."""
        store = pick_endpoint(self.address)
        self._server.listen(store.port, store.address)
        for instance in self.instances:
            instance.run_s = RUN_S
            await instance.start(self.address, pick_endpoint(self.address).port)
            link = Proxy(instance.address)
            await link.start(self.address, pick_endpoint(self.address).port)
            self.links.append(link)
        for number in range(INSTANCES):
            self.register(number)
        self.store.put(SERVERS_KIND, "i-other-writer", UNREADABLE_ENTRY)
        self.store.faults.replica_lag_s = REPLICA_LAG_S
        if not self._has_teams:
            self.store.put("config", "main", make_configuration())
        for node in self.nodes:
            node.names["store"] = str(store)
            node.write_settings()
            await self._start_node(node)
        for node in self.nodes:
            await node.wait_ready()

    async def stop(self) -> None:
        """End all that was started."""
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            await node.kill()
        for link in self.links:
            link.stop()
        self._server.stop()
        for instance in self.instances:
            await instance.stop()
        # Connections see their ends before the event loop cancels what is left.
        await asyncio.sleep(CLOSE_S)

    def register(self, number: int, state: str = "ready") -> None:
        """Write the entry of an instance, at the address of its proxy."""
        entry = {**self.instances[number].describe(state), "address": self.links[number].address}
        self.store.put(SERVERS_KIND, self.instances[number].name, entry)

    def make_cold(self, instance: Instance) -> None:
        """Let an instance become cold, where there are bounds for that."""
        if self._has_teams:
            instance.become_cold(COLD_S)
            now = time.monotonic()
            self.records.colds.append(Period(instance.name, now, now + COLD_S))

    def list_arrivals(self) -> list[Arrival]:
        """Return all requests that nodes sent to instances."""
        return [
            Arrival(at, instance.name, request_id)
            for instance, link in zip(self.instances, self.links, strict=True)
            for at, request_id in link.arrivals
        ]

    async def strike(self, fault: Fault) -> None:
        """Let a fault begin and end; of two of a kind that overlap, the first to end ends both."""
        strikes = {
            "node": self._strike_node,
            "store": self._strike_store,
            "link": self._strike_link,
            "instance": self._strike_instance,
        }
        await strikes[fault.kind.partition("_")[0]](fault)

    async def return_store(self, planned: StoreReturn) -> None:
        """Let the store come back from a copy, and write again what others wrote there last."""
        await asyncio.sleep(planned.at_s)
        began_at = time.monotonic()
        self.store.faults.mode = "reset"
        self.store.return_from_copy(planned.age_s)
        await asyncio.sleep(planned.away_s)
        self.store.faults.mode = "none"
        await asyncio.sleep(planned.rewrite_s)
        for (kind, name), value in list(self.store.written.items()):
            stored = self.store.objects.read(kind, name)
            is_lost = value is not (None if stored is None else stored.value)
            if is_lost and not kind.startswith(HOSTS_KIND_PREFIX):
                self.store.put(kind, name, value)
        self.records.outages.append(Period("", began_at, time.monotonic()))

    async def meet_group(self, group: HostileGroup) -> None:
        """Let callers outside the limits meet a node for a time."""
        await asyncio.sleep(group.at_s)
        node = self.nodes[group.target % NODES]
        address = split_address(node.names["frontend"])
        target = Target(address, "shop.example", "/unsafe/up", "/safe/down")
        async with hold_group(target, group.name):
            await asyncio.sleep(group.length_s)

    async def _strike_node(self, fault: Fault) -> None:
        node = self.nodes[fault.target % NODES]
        if fault.kind is FaultKind.NODE_RELOAD:
            node.write_settings(grace="5s")
            node.signal(signal.SIGHUP)
            return
        if fault.kind is FaultKind.NODE_PAUSE:
            began_at = time.monotonic()
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.length_s)
            node.signal(signal.SIGCONT)
            self.records.pauses.append(Period(node.name, began_at, time.monotonic()))
            return
        if fault.kind is FaultKind.NODE_TERM:
            node.signal(signal.SIGTERM)
            assert node.process is not None
            await node.process.wait()
        else:
            await node.kill()
            await asyncio.sleep(fault.length_s)
        # Another fault may have started it again meanwhile.
        if node.process is not None and node.process.returncode is not None:
            await self._start_node(node)

    async def _start_node(self, node: NodeProgram) -> None:
        self.records.starts.append((node.name, time.monotonic()))
        await node.start()

    async def _strike_store(self, fault: Fault) -> None:
        faults = self.store.faults
        if fault.kind is FaultKind.STORE_FORGETS:
            self.store.compact()
            return
        if fault.kind is FaultKind.STORE_SLOW:
            faults.delay_s = SLOW_STORE_S
        else:
            faults.mode = STORE_MODES[fault.kind]
        self.store.notify()
        began_at = time.monotonic()
        await asyncio.sleep(fault.length_s)
        if fault.kind is not FaultKind.STORE_SLOW:
            self.records.outages.append(Period("", began_at, time.monotonic()))
        if fault.kind is FaultKind.STORE_SLOW:
            faults.delay_s = 0.0
        elif faults.mode == STORE_MODES[fault.kind]:
            faults.mode = "none"

    async def _strike_link(self, fault: Fault) -> None:
        link = self.links[fault.target % INSTANCES]
        if fault.kind is FaultKind.LINK_RESET:
            link.reset()
            return
        link.state = LINK_STATES[fault.kind]
        await asyncio.sleep(fault.length_s)
        link.state = LinkState.PASS

    async def _strike_instance(self, fault: Fault) -> None:
        number = fault.target % INSTANCES
        instance = self.instances[number]
        if fault.kind is FaultKind.INSTANCE_SLOW:
            instance.percent = SLOW_PERCENT
            await asyncio.sleep(fault.length_s)
            instance.percent = 100
            return
        if fault.kind in RESPONSE_FAULTS:
            await self._send_faulty_responses(instance, fault)
            return
        if fault.kind is FaultKind.INSTANCE_LEAVES:
            self.register(number, "draining")
            await asyncio.sleep(DRAIN_S)
        await instance.stop()
        if fault.kind is FaultKind.INSTANCE_LEAVES:
            self.store.remove(SERVERS_KIND, instance.name)
        await asyncio.sleep(fault.length_s)
        instance.born += 1
        self.make_cold(instance)
        await instance.start(*split_address(instance.address))
        self.register(number)

    async def _send_faulty_responses(self, instance: Instance, fault: Fault) -> None:
        """Let an instance send responses without end, or earlier ones again, for a while."""
        if fault.kind is FaultKind.INSTANCE_ENDLESS:
            names = sorted(ENDLESS_PARTS)
            instance.fault = names[fault.target % len(names)]
        elif fault.kind is FaultKind.INSTANCE_REFUSES_AGAIN:
            instance.repeated_refusal = EARLIER_REFUSAL
        else:
            instance.late_copies = COPIES
        await asyncio.sleep(fault.length_s)
        instance.fault = ""
        instance.repeated_refusal = None
        instance.late_copies = 0
