"""What a node process does with watched configurations."""

from amaranthbend.adapters.metrics import Counters
from amaranthbend.controllers.watch_handlers import ConfigurationHandler
from amaranthbend.core.policy import DeploymentPolicy
from amaranthbend.core.watching import ObjectEvent, StoreChanges, StoredObject
from amaranthbend.platform.documents import CONFIGURATION_NAME, decode_configuration
from standins.node_caller import make_configuration


class Applied:
    """A handler and the versions that it has put in force."""

    def __init__(self) -> None:
        self.versions: list[int] = []
        self.handler = ConfigurationHandler(
            CONFIGURATION_NAME, decode_configuration, self._record, Counters()
        )

    def _record(self, version: int, _policy: DeploymentPolicy, _now: float) -> None:
        self.versions.append(version)

    def apply(self, version: int, revision: int, *, is_removal: bool = False) -> None:
        """Apply a change that brings a version at a revision of the store."""
        stored = StoredObject(CONFIGURATION_NAME, revision, make_configuration(version))
        changes = StoreChanges([ObjectEvent(stored, is_removal)], revision)
        self.handler.apply_changes(changes, 0.0)


def test_older_configuration_is_ignored() -> None:
    """Guards against routes or services that come back after they were withdrawn.

    A peer that relays changes of long ago, or the list of a lagging replica, brings an earlier
    configuration.
    """
    applied = Applied()
    applied.apply(4, revision=10)
    applied.apply(3, revision=7)
    applied.apply(4, revision=10)
    assert applied.versions == [4]
    applied.apply(5, revision=12)
    assert applied.versions == [4, 5]


def test_removed_or_unusable_configuration_keeps_the_last_one() -> None:
    """Guards against a process without routes because of one bad or missing document."""
    applied = Applied()
    applied.apply(4, revision=10)
    applied.apply(4, revision=11, is_removal=True)
    bad = StoredObject(CONFIGURATION_NAME, 12, {"version": "?"})
    applied.handler.apply_changes(StoreChanges([ObjectEvent(bad, False)], 12), 0.0)
    assert applied.handler.version == 4
    applied.apply(6, revision=13)
    assert applied.versions == [4, 6]
