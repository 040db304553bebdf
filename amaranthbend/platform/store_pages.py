"""Decodes responses of the store in which single objects may be unreadable."""

import json
import re
from collections.abc import Iterable
from typing import Any

from ..adapters.logs import log_event
from ..core.positions import Position
from ..core.watching import ObjectEvent, StoredObject
from .document_fields import get_non_negative_int, get_string

__all__ = ["decode_events", "decode_objects", "decode_page"]

# Strings, and the characters that structure JSON.
TOKEN_PATTERN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[\]{}:,]', re.DOTALL)
# Deeper values are not read: libraries process them by recursion, also where they are written.
MAX_NESTING = 32


def decode_page(body: bytes) -> dict[str, Any]:
    """Return the response to a list or a watch; an object that cannot be read has no value.

    Raises
    ------
    KeyError, TypeError or ValueError
        If the response itself is no JSON object, or lacks the store's own data of an object.
    """
    try:
        page = json.loads(body)
    except (ValueError, RecursionError):
        # One object of another writer must not hide the others.
        page = _decode_page_by_parts(body)
    if not isinstance(page, dict):
        raise ValueError(f"response is {type(page).__name__}, not an object")
    return page


def decode_objects(items: Iterable[Any], era: int = 0) -> list[StoredObject]:
    """Return the objects of a list that was made in an era of the store.

    Raises
    ------
    KeyError, TypeError or ValueError
        If the store's own data of an object are missing, of another type or out of range.
    """
    return [_decode_object(item, era) for item in items]


def decode_events(events: Iterable[Any], era: int = 0) -> list[ObjectEvent]:
    """Return the events of a watch that was answered in an era of the store.

    Raises
    ------
    KeyError, TypeError or ValueError
        If the store's own data of an event are missing, of another type or out of range.
    """
    return [
        ObjectEvent(_decode_object(event["object"], era), event["deleted"] is True)
        for event in events
    ]


def _decode_object(document: Any, era: int) -> StoredObject:
    metadata = document["metadata"]
    stored = StoredObject(
        get_string(metadata, "name"),
        Position(era, get_non_negative_int(metadata, "revision")),
        document.get("specification"),
    )
    if not _is_nested_too_deep(stored.value):
        return stored
    log_event(
        "object_unreadable",
        name=stored.name,
        revision=stored.revision,
        error=f"nested more than {MAX_NESTING} deep",
    )
    return stored._replace(value=None)


def _is_nested_too_deep(value: Any) -> bool:
    """Return whether a value has more than `MAX_NESTING` levels, found without recursion."""
    level = [value]
    for _ in range(MAX_NESTING):
        children: list[Any] = []
        for container in level:
            if isinstance(container, dict):
                children += container.values()
            elif isinstance(container, list):
                children += container
        level = [child for child in children if isinstance(child, (dict, list))]
        if not level:
            return False
    return True


def _decode_page_by_parts(body: bytes) -> dict[str, Any]:
    """Return a response whose objects are decoded one by one.

    Raises
    ------
    KeyError or ValueError
        If anything else than the value of an object cannot be read.
    """
    page: dict[str, Any] = {}
    for key, text in _split_members(body).items():
        if key == "items":
            page[key] = [_decode_object_by_parts(item) for item in _split(text)]
        elif key == "events":
            page[key] = [_decode_event_by_parts(event) for event in _split(text)]
        else:
            page[key] = json.loads(text)
    return page


def _decode_event_by_parts(text: bytes) -> dict[str, Any]:
    parts = _split_members(text)
    return {
        "deleted": json.loads(parts["deleted"]),
        "object": _decode_object_by_parts(parts["object"]),
    }


def _decode_object_by_parts(text: bytes) -> dict[str, Any]:
    parts = _split_members(text)
    metadata = json.loads(parts["metadata"])
    try:
        value = json.loads(parts.get("specification", b"null"))
    except (ValueError, RecursionError) as error:
        name, revision = metadata.get("name"), metadata.get("revision")
        log_event("object_unreadable", name=name, revision=revision, error=type(error).__name__)
        value = None
    return {"metadata": metadata, "specification": value}


def _split_members(text: bytes) -> dict[str, bytes]:
    """Return the texts of the members of a JSON object by key."""
    members: dict[str, bytes] = {}
    for member in _split(text):
        key = TOKEN_PATTERN.match(member)
        if key is None:
            raise ValueError("member without a key")
        _, _, value = member[key.end() :].partition(b":")
        members[str(json.loads(key[0]))] = value
    return members


def _split(text: bytes) -> list[bytes]:
    """Return the texts between the commas of a JSON array or object, found without recursion.

    Raises
    ------
    ValueError
        If the text is no array or object, or is not complete.
    """
    parts: list[bytes] = []
    depth = start = 0
    for token in TOKEN_PATTERN.finditer(text):
        character = token[0]
        if character in b"[{":
            depth += 1
            if depth == 1:
                start = token.end()
        elif character in b"]}":
            depth -= 1
            if depth == 0:
                parts.append(text[start : token.start()].strip())
                return [part for part in parts if part]
        elif character == b"," and depth == 1:
            parts.append(text[start : token.start()].strip())
            start = token.end()
    raise ValueError("JSON array or object without its end")
