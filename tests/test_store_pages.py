"""Responses of the store that are decoded object by object."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amaranthbend.platform.store_pages import (
    MAX_NESTING,
    decode_events,
    decode_objects,
    decode_page,
)

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=20,
)
UNREADABLE = b"9" * 5000


def make_object(name: str, value: Any) -> dict[str, Any]:
    """Return an object as the store sends it."""
    return {"metadata": {"name": name, "revision": 7}, "specification": value, "status": None}


@given(st.lists(JSON_VALUES, max_size=5), st.booleans(), st.integers(0, 5))
def test_unreadable_object_changes_no_other(
    values: list[Any], is_watch: bool, position: int
) -> None:
    """Guards against strings and brackets in a value that shift the borders between objects."""
    objects = [make_object(f"i-{number}", value) for number, value in enumerate(values)]
    objects.insert(position, make_object("odd", "@odd@"))
    if is_watch:
        events = [{"deleted": False, "object": item} for item in objects]
        page: dict[str, Any] = {"events": events, "at": 9}
    else:
        page = {"items": objects, "hasMore": True, "at": 9}
    text = json.dumps(page).encode().replace(b'"@odd@"', UNREADABLE)
    decoded = decode_page(text)
    assert decoded["at"] == 9
    if is_watch:
        stored = [event.object for event in decode_events(decoded["events"])]
    else:
        stored = decode_objects(decoded["items"])
    odd = next(item for item in stored if item.name == "odd")
    assert (odd.revision, odd.value) == (7, None)
    expected = decode_objects(item for item in objects if item["metadata"]["name"] != "odd")
    assert [item for item in stored if item.name != "odd"] == expected


@pytest.mark.parametrize(
    "text", [b"", b"[", b'{"items":[', b"[]", b"1", b'{"items":[1}', b'{"at":x}']
)
def test_response_that_is_no_object_is_an_error(text: bytes) -> None:
    """Guards against a truncated response that is taken for a shorter list."""
    with pytest.raises((ValueError, KeyError, TypeError)):
        decode_objects(decode_page(text)["items"])


def test_deep_value_is_no_value() -> None:
    """Guards against a value that is read, but ends what writes it by recursion."""

    def nest(depth: int) -> Any:
        value: Any = 1
        for _ in range(depth):
            value = {"a": [value]}
        return value

    usable, deep = nest(MAX_NESTING // 2), nest(MAX_NESTING)
    stored = decode_objects([make_object("a", usable), make_object("b", deep)])
    assert [item.value for item in stored] == [usable, None]
