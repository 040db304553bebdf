"""Settings of a node process, which serves callers on a machine without a control process."""

from typing import NamedTuple

__all__ = ["NodeSettings"]


class NodeSettings(NamedTuple):
    """Settings of a node process.

    Parameters
    ----------
    host_id : str
        Name of the machine.
    data_centre : str
        Data centre of the machine.
    caller_address : str
        `address:port` where callers connect.
    readiness_address : str
        `address:port` where the platform asks whether the process takes new connections.
    readiness_path : str
        Path of that question.
    peer_address : str
        `address:port` where other hosts ask for the store's news; empty if they cannot.
    is_first_start : bool
        Whether all hosts of the deployment start for the first time.
    store_address : str
        `address:port` of the platform's store.
    grace_s : float
        Time from SIGTERM until the process is killed.
    drain_s : float
        Time for which a leaving upstream still serves after its departure is known.
    retry_ratio : float
        Retries of the deployment allowed as a share of its requests.
    retry_slack : float
        Retries of the deployment allowed on top in each window.
    probes_per_s : float
        Most probes to an upstream in a second, over all machines.
    """

    host_id: str
    data_centre: str
    caller_address: str
    readiness_address: str
    readiness_path: str
    peer_address: str
    is_first_start: bool
    store_address: str
    grace_s: float
    drain_s: float
    retry_ratio: float
    retry_slack: float
    probes_per_s: float
