"""Asks a node process what it would do with a request, and prints the answer."""

import asyncio
import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError
from tornado.iostream import UnsatisfiableReadError

from ..adapters.addresses import is_address
from ..adapters.admin import EXPLANATION_PATH
from ..adapters.http_client import make_http_client
from ..core.errors import ExplanationError
from ..core.explanation_document import Explanation, ServicePart, TeamPart, UpstreamPart
from ..core.explanations import Outlook, parse_header
from .invocations import unwrap_or_exit

__all__ = ["explain_request", "format_explanation", "join_repeated_flag"]

# Separates the values of a repeated flag; it occurs in no header field.
SEPARATOR = "\n"
# A node process answers in milliseconds, one that is short of CPU within a second or two.
TIMEOUT_S = 5.0
HTTP_OK = 200
OUTLOOK_TEXTS = {
    Outlook.SENT: "sent to one of the first upstreams in the order",
    Outlook.LAST_CHOICES: "no upstream is free; sent to a last choice if it has room",
    Outlook.HELD_BACK: "no upstream may get it now; sent only if one becomes free or as a last "
    "resort",
    Outlook.NO_UPSTREAM: "no upstream is usable",
}
COLUMNS = (
    "place",
    "upstream",
    "data_centre",
    "report_ms",
    "running",
    "queued",
    "slots",
    "own",
    "done_ms",
    "reason",
)


def join_repeated_flag(arguments: Sequence[str], flag: str) -> list[str]:
    """Return the arguments with all values of a repeated flag joined into one."""
    rest: list[str] = []
    values: list[str] = []
    remaining = iter(arguments)
    for argument in remaining:
        if argument == flag:
            values.append(next(remaining, ""))
        elif argument.startswith(f"{flag}="):
            values.append(argument[len(flag) + 1 :])
        else:
            rest.append(argument)
    if values:
        rest.append(f"{flag}={SEPARATOR.join(values)}")
    return rest


def explain_request(
    admin: str, path: str, method: str, header: str, team: str, as_json: bool
) -> None:
    """Print what a node process would do with a request; exit with status 1 if it cannot tell.

    Parameters
    ----------
    admin : str
        `ADDRESS:PORT` of its administration API.
    path, method : str
        Path and HTTP method of the request.
    header : str
        Its header fields, see `join_repeated_flag`.
    team : str
        Name of the caller's team, empty for a request without a key.
    as_json : bool
        Whether to print the answer as JSON.
    """
    fields = [text for text in header.split(SEPARATOR) if text]
    for text in fields:
        unwrap_or_exit(parse_header(text))
    query = [("path", path), ("method", method.upper()), ("team", team)]
    query += [("header", text) for text in fields]
    explanation = unwrap_or_exit(asyncio.run(fetch_explanation(admin, query)))
    if as_json:
        print(json.dumps(explanation, indent=1))
        return
    for line in format_explanation(explanation):
        print(line)


async def fetch_explanation(
    admin: str, query: Sequence[tuple[str, str]]
) -> Result[Explanation, ExplanationError]:
    """Return the answer of a node process.

    Parameters
    ----------
    admin : str
        `ADDRESS:PORT` of its administration API.
    query : sequence of (str, str)
        Arguments that describe the request.
    """
    if not is_address(admin):
        return Err(
            ExplanationError(
                f"--admin {admin!r} is not ADDRESS:PORT",
                "give the address of the administration API, as in --admin 127.0.0.1:9464",
            )
        )
    client = make_http_client()
    try:
        response = await client.fetch(
            f"http://{admin}{EXPLANATION_PATH}?{urlencode(query)}",
            raise_error=False,
            connect_timeout=TIMEOUT_S,
            request_timeout=TIMEOUT_S,
        )
    except (OSError, HTTPClientError, UnsatisfiableReadError, ValueError) as error:
        return Err(_make_unreachable_error(admin, error))
    finally:
        client.close()
    return parse_answer(admin, response.code, response.body)


def parse_answer(admin: str, status: int, body: bytes) -> Result[Explanation, ExplanationError]:
    """Return the explanation in the response of a node process, or the error that it states."""
    try:
        document: Any = json.loads(body)
    except ValueError:
        document = None
    if isinstance(document, dict) and status == HTTP_OK and "services" in document:
        return Ok(document)  # type: ignore[arg-type]
    if isinstance(document, dict) and isinstance(document.get("error"), str):
        problem, _, remedy = document["error"].rpartition("; ")
        return Err(ExplanationError(f"{admin} cannot explain the request: {problem}", remedy))
    return Err(
        ExplanationError(
            f"{admin} answers with status {status}, and not as the administration API of a node "
            "process",
            "give the address that amaranthbend-node got by --metrics or AMARANTHBEND_METRICS, and "
            "use the version of this command that belongs to the process",
        )
    )


def _make_unreachable_error(admin: str, error: object) -> ExplanationError:
    return ExplanationError(
        f"no answer from {admin} ({error})",
        "check that amaranthbend-node runs there, and that it got this address by --metrics or "
        "AMARANTHBEND_METRICS",
    )


def format_explanation(explanation: Explanation) -> list[str]:
    """Return an explanation as lines for the terminal."""
    route = explanation["route"]
    configuration = explanation["configuration"]
    refusal = explanation["refusal"]
    age = "never" if configuration["age_ms"] is None else f"{configuration['age_ms']} ms ago"
    outdated = " (outdated)" if configuration["is_outdated"] else ""
    lines = [
        f"request: {'would be refused: ' + refusal if refusal else 'would be accepted'}",
        f"host: {explanation['host']} in {explanation['data_centre']}, "
        f"{explanation['unready'] or 'ready'}"
        f"{', refuses all requests as it stops' if explanation['is_stopping'] else ''}",
        f"configuration: version {configuration['version']}, confirmed {age}{outdated}, an unknown "
        f"key gets {configuration['unknown_key_refusal']}",
        f"route: {route['name']} ({route['path_prefix']}), "
        f"{'needs a key' if route['needs_key'] else 'needs no key'}, "
        f"{'idempotent' if route['is_idempotent'] else 'runs once at most'}, "
        f"timeout {route['timeout_ms']} ms, latency goal "
        f"{'none' if route['latency_goal_ms'] is None else str(route['latency_goal_ms']) + ' ms'}",
        f"team: {_format_team(explanation['team'])}",
        f"rank: {explanation['rank']}",
    ]
    for service in explanation["services"]:
        lines += _format_service(service)
    return lines


def _format_team(team: TeamPart | None) -> str:
    if team is None:
        return "none"
    priority = "no priority" if team["priority"] is None else f"priority {team['priority']}"
    quota = team["quota"]
    if quota is None:
        return f"{team['name']}, {priority}, no quota in force"
    admission = f"admitted with probability {quota['admission_chance']:g}"
    if quota["admission_chance"] >= 1.0:
        admission = "would be admitted"
    elif quota["admission_chance"] <= 0.0:
        admission = f"would be refused, credit returns in {quota['returns_after_ms']} ms"
    return (
        f"{team['name']}, {priority}, quota {quota['rate_per_s']:g}/s and {quota['burst']:g} at "
        f"once, credit {quota['credit']:g}, {admission}"
    )


def _format_service(service: ServicePart) -> list[str]:
    share = "" if service["share"] >= 1.0 else f" ({service['share']:.0%} of the requests)"
    text = f"service: {service['service']}{share}, {OUTLOOK_TEXTS[Outlook(service['outlook'])]}"
    if service["is_deferrable"]:
        text += ", gives way to more urgent requests while room is short"
    lines = [text]
    rows = [COLUMNS, *map(_list_cells, service["upstreams"])]
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  " + "  ".join(cells).rstrip())
    return lines


def _list_cells(upstream: UpstreamPart) -> tuple[str, ...]:
    """Return the cells of an upstream in the order of `COLUMNS`."""
    values = (
        upstream["place"],
        upstream["upstream"],
        upstream["data_centre"],
        upstream["report_age_ms"],
        upstream["in_flight"],
        upstream["queued"],
        upstream["slots"],
        upstream["own_in_flight"],
        upstream["completion_ms"],
        upstream["exclusion"],
    )
    return tuple("-" if value is None else str(value) for value in values)
