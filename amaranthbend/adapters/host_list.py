"""The platform's host list, and the check of numbers from outside."""

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

# Largest number of the 64-bit fields of control.proto.
MAX_INT64 = 2**63 - 1


class PlatformHost(NamedTuple):
    """One entry of the host list.

    Parameters
    ----------
    id : str
        Identifier, unique in its role.
    role : str
        `entry`, or the name of the service that the host runs.
    address : str
        IP number.
    port : int
        Port for requests.
    control_port : int
        Port of the control process, 0 where there is none.
    data_centre : str
        Data centre of the host.
    state : str
        `live` or `leaving`.
    incarnation : int
        Grows with each restart.
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
    """The host list, which may lag behind the truth."""

    revision: int
    hosts: tuple[PlatformHost, ...]


def load_host_list(document: Any) -> HostList:
    """Return the host list of its JSON form.

    Raises
    ------
    ValueError
        If the document has not the shape of a host list.
    """
    try:
        hosts = tuple(_load_host(entry) for entry in document["hosts"])
        return HostList(load_non_negative_int(document["revision"]), hosts)
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a host list: {error!r}") from error


def load_non_negative_int(value: Any) -> int:
    """Return a whole number that a message between processes can hold.

    Raises
    ------
    ValueError
        If the value is something else.
    """
    if type(value) is not int or not 0 <= value <= MAX_INT64:
        raise ValueError(f"{value!r:.40} is not a whole number from 0 to {MAX_INT64}")
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
    """Return the JSON form of a host list."""
    hosts = [host._asdict() for host in host_list.hosts]
    return json.dumps({"revision": host_list.revision, "hosts": hosts}).encode()
