"""Settings of a node process, which serves callers on a host without a control process."""

from typing import NamedTuple

__all__ = ["NodeSettings"]


class NodeSettings(NamedTuple):
    """Settings of a node process.

    Parameters
    ----------
    host_id : str
        Name of the host.
    data_centre : str
        Data centre of the host.
    data_centres : int
        Number of data centres of the deployment.
    caller_address : str
        `address:port` where callers connect.
    readiness_address : str
        `address:port` of the readiness check, by which the platform learns whether the process
        accepts new connections.
    readiness_path : str
        URL path of the readiness check.
    peer_address : str
        `address:port` where other hosts fetch store changes; empty to disable this.
    is_first_start : bool
        Whether all hosts of the deployment start for the first time.
    store_address : str
        `address:port` of the platform's store.
    grace_s : float
        Time from SIGTERM until the process is killed.
    apply_s : float
        Time within which a change in the store has to be in force.
    drain_s : float
        Time for which a departing upstream still serves after its departure is known.
    retry_ratio : float
        Maximum number of retries in the deployment, as a share of its requests.
    retry_slack : float
        Retries allowed in the deployment in each window in addition to that share.
    probes_per_s : float
        Maximum rate of probes to an upstream, summed over all hosts.
    memory_bytes : int
        Memory above which the process is killed.
    max_descriptors : int
        File descriptors that the process may have open.
    quota_address : str
        `address:port` where hosts exchange the counts of teams' requests; empty to disable this.
    quota_window_s : float
        Window over which the requests of a team may not exceed its quota.
    quota_overshoot : float
        Part of the quota by which all hosts together may exceed it.
    quota_slack : float
        Requests of a team in a window that all hosts together may run besides.
    cold_overshoot : float
        Factor on the rate of a cold upstream that all hosts together must not exceed.
    cold_slack : float
        Requests in a second that a cold upstream tolerates besides.
    evacuation_s : float
        Time within which hosts must stop sending to an evacuated data centre; 0 if none is ever
        evacuated.
    data_centre_names : tuple of str
        Names of the data centres of the deployment; empty if they are unknown.
    """

    host_id: str
    data_centre: str
    data_centres: int
    caller_address: str
    readiness_address: str
    readiness_path: str
    peer_address: str
    is_first_start: bool
    store_address: str
    grace_s: float
    apply_s: float
    drain_s: float
    retry_ratio: float
    retry_slack: float
    probes_per_s: float
    memory_bytes: int
    max_descriptors: int = 1024
    quota_address: str = ""
    quota_window_s: float = 0.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    evacuation_s: float = 0.0
    data_centre_names: tuple[str, ...] = ()
