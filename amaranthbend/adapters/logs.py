"""Structured logging: one line per event, as key=value pairs."""

import json
import logging as standard_logging
import re

from absl import flags, logging

__all__ = ["format_event", "log_event", "parse_log_line", "configure_logging"]

UNQUOTED_VALUE_PATTERN = re.compile(r"[^\s\"=\\\x00-\x1f\x7f]+")
FIELD_PATTERN = re.compile(r'([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|[^\s"]*)')
LINE_FORMAT = "time=%(asctime)s level=%(levelname)s %(message)s"


def configure_logging() -> None:
    """Configure absl logging so that every line, from the first one on, has key=value pairs."""
    # Until its flags are parsed, absl writes a warning without key=value pairs before the first
    # line.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(
        standard_logging.Formatter(LINE_FORMAT, datefmt="%Y-%m-%dT%H:%M:%S%z")
    )
    logging.set_verbosity(logging.INFO)


def format_event(event: str, **fields: object) -> str:
    """Return the log line of an event; values that would be ambiguous are quoted.

    Parameters
    ----------
    event : str
        Name of the event.
    **fields : object
        Further fields, in the order in which they are written.
    """
    parts = [f"event={event}"]
    for name, value in fields.items():
        text = str(value)
        if not UNQUOTED_VALUE_PATTERN.fullmatch(text):
            text = json.dumps(text)
        parts.append(f"{name}={text}")
    return " ".join(parts)


def parse_log_line(line: str) -> dict[str, str]:
    """Return the fields of a log line; empty if the text has none."""
    fields: dict[str, str] = {}
    for name, text in FIELD_PATTERN.findall(line):
        fields[name] = json.loads(text) if text.startswith('"') else text
    return fields


def log_event(event: str, **fields: object) -> None:
    """Log an event."""
    logging.info("%s", format_event(event, **fields))
