"""The platform's host list, and validation of integers in received JSON."""

import json
from typing import Any, NamedTuple

__all__ = [
    "MAX_INT64",
    "HostList",
    "PlatformHost",
    "dump_host_list",
    "load_host_list",
    "load_non_negative_int",
]

# Largest value of the signed 64-bit fields of control.proto.
MAX_INT64 = 2**63 - 1


class PlatformHost(NamedTuple):
    """One entry of the host list.

    Parameters
    ----------
    id : str
        Identifier, unique among the hosts of the same role.
    role : str
        `entry`, or the name of the service that the host runs.
    address : str
        IP address.
    port : int
        Port for requests.
    control_port : int
        Port of the control process, 0 if the host has none.
    data_centre : str
        Data centre of the host.
    state : str
        `live` or `leaving`.
    incarnation : int
        Number that grows with each restart of the host.
    """

    id: str
    role: str
    address: str
    port: int
    control_port: int
    data_centre: str
    state: str
    incarnation: int


class HostList(NamedTuple):
    """A host list, which may be out of date."""

    revision: int
    hosts: tuple[PlatformHost, ...]


def load_host_list(document: Any) -> HostList:
    """Return a host list from its JSON form.

    Raises
    ------
    ValueError
        If a field is missing or has a wrong type or value.
    """
    try:
        hosts = tuple(_load_host(entry) for entry in document["hosts"])
        return HostList(load_non_negative_int(document["revision"]), hosts)
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a host list: {error!r}") from error


def load_non_negative_int(value: Any) -> int:
    """Return an integer after checking that a signed 64-bit message field can hold it.

    Raises
    ------
    ValueError
        If the value is not an integer from 0 to `MAX_INT64`.
    """
    if type(value) is not int or not 0 <= value <= MAX_INT64:
        raise ValueError(f"{value!r:.40} is not an integer from 0 to {MAX_INT64}")
    return value


def _load_host(entry: Any) -> PlatformHost:
    return PlatformHost(
        id=str(entry["id"]),
        role=str(entry["role"]),
        address=str(entry["address"]),
        port=load_non_negative_int(entry["port"]),
        control_port=load_non_negative_int(entry.get("control_port") or 0),
        data_centre=str(entry["data_centre"]),
        state=str(entry["state"]),
        incarnation=load_non_negative_int(entry["incarnation"]),
    )


def dump_host_list(host_list: HostList) -> bytes:
    """Return a host list as JSON."""
    hosts = [host._asdict() for host in host_list.hosts]
    return json.dumps({"revision": host_list.revision, "hosts": hosts}).encode()
