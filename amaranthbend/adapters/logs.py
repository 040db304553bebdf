"""Log lines: one per event, as key=value pairs."""

import json
import re

from absl import logging

__all__ = ["format_event", "log_event"]

PLAIN_VALUE = re.compile(r"[^\s\"=\\\x00-\x1f\x7f]+")


def format_event(event: str, **fields: object) -> str:
    """Return the line of an event; values that could be misread are quoted.

    Parameters
    ----------
    event : str
        Name of the event.
    **fields : object
        Further fields, in their order.
    """
    parts = [f"event={event}"]
    for name, value in fields.items():
        text = str(value)
        if not PLAIN_VALUE.fullmatch(text):
            text = json.dumps(text)
        parts.append(f"{name}={text}")
    return " ".join(parts)


def log_event(event: str, **fields: object) -> None:
    """Write the line of an event."""
    logging.info("%s", format_event(event, **fields))
