"""Property tests of the readers of settings, envelopes and approvals."""

import contextlib
import copy
import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthbend.core.envelope import dump_envelope, load_envelope
from amaranthbend.core.envelope_decisions import EnvelopeVerdict
from amaranthbend.core.errors import SettingsError
from amaranthbend.core.policy import DeploymentPolicy
from amaranthbend.settings.acceptance import Approvers, accept_document
from amaranthbend.settings.approvals import load_approval
from amaranthbend.settings.documents import MISLEADING_CHARACTER, parse_document, scan_document
from amaranthbend.settings.effects import describe_effect
from amaranthbend.settings.folder import FolderFile, FolderSnapshot, check_folder
from amaranthbend.settings.policies import build_policy

from .settings_cases import APPROVER_KEYS, KEYS, make_envelope, make_merged

# Derandomized, so that a run gives the same result on every host.
settings.register_profile("settings", derandomize=True, deadline=None, max_examples=300)
PROFILE = settings.get_profile("settings")
APPROVERS = Approvers("eeslikoda", APPROVER_KEYS, 2)

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
VALUES = st.recursive(
    SCALARS,
    lambda children: (
        st.lists(children, max_size=4) | st.dictionaries(st.text(max_size=8), children)
    ),
    max_leaves=12,
)
FRAGMENTS = st.sampled_from(
    ['{"a":', "{", "}", "[", "]", ",", ":", '"b"', '"', "1", "-", "1e9", "null", "true", "nul"]
    + ["// x\n", "/*", "*/", "\n", "\r", "\\u12", "\u202e", "\ud800", " ", "é", "1" * 5000]
)
TEXTS = st.text() | st.lists(FRAGMENTS, max_size=30).map("".join)


def list_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of a JSON value and of all values nested in it."""
    if isinstance(value, dict):
        items: list[tuple[Any, Any]] = list(value.items())
    else:
        items = list(enumerate(value)) if isinstance(value, list) else []
    return [path] + [
        descendant for name, children in items for descendant in list_paths(children, (*path, name))
    ]


@st.composite
def corrupt(draw: st.DrawFn, valid: Any) -> Any:
    """Return a valid JSON value with one part replaced, removed or added."""
    corrupted = copy.deepcopy(valid)
    path = draw(st.sampled_from([path for path in list_paths(valid) if path]))
    parent = corrupted
    for step in path[:-1]:
        parent = parent[step]
    action = draw(st.sampled_from(["replace", "remove", "add"]))
    if action == "replace":
        parent[path[-1]] = draw(VALUES)
    if action == "remove":
        del parent[path[-1]]
    if action == "add" and isinstance(parent, dict):
        parent[draw(st.text(max_size=8))] = draw(VALUES)
    return corrupted


@given(TEXTS)
@settings(PROFILE)
def test_any_text_parses_or_names_a_line(text: str) -> None:
    """Guards against a file that crashes the program instead of giving an error with its line."""
    try:
        document = parse_document(text, "a.jsonc")
    except SettingsError as error:
        assert 1 <= error.line <= text.count("\n") + 1
        assert error.remedy
        return
    assert isinstance(document.value, dict)


@given(st.dictionaries(st.text(max_size=8), VALUES, max_size=4), st.booleans())
@settings(PROFILE)
def test_any_object_is_read_as_json_reads_it(value: dict[str, Any], ascii_only: bool) -> None:
    """Guards against a parsed value that differs from the one in the file."""
    text = json.dumps(value, ensure_ascii=ascii_only)
    document, problems = scan_document(text, "a.jsonc")
    if "NaN" in text or "Infinity" in text:
        return
    if any(MISLEADING_CHARACTER.search(part) for part in list_texts(value)):
        return
    assert problems == []
    assert document is not None
    assert document.value == json.loads(text)


def list_texts(value: Any) -> list[str]:
    """Return all strings in a JSON value, keys included."""
    if isinstance(value, dict):
        return [text for pair in value.items() for part in pair for text in list_texts(part)]
    if isinstance(value, list):
        return [text for part in value for text in list_texts(part)]
    return [value] if isinstance(value, str) else []


@given(st.lists(st.binary() | TEXTS.map(lambda text: text.encode(errors="replace")), max_size=3))
@settings(PROFILE)
def test_any_files_give_settings_or_errors(contents: list[bytes]) -> None:
    """Guards against a file in the folder that stops the folder watcher."""
    files = [FolderFile(f"{i}.jsonc", data) for i, data in enumerate(contents)]
    result = check_folder(FolderSnapshot(tuple(files), (), ()), "eeslikoda")
    assert all(isinstance(error, SettingsError) for error in result.unwrap_err())


@given(corrupt(make_merged()))
@settings(PROFILE)
def test_corrupted_settings_are_rejected_in_the_folder_as_in_a_process(merged: Any) -> None:
    """Guards against settings that pass publication but that no process can use."""
    try:
        policy = build_policy(merged)
    except SettingsError:
        policy = None
    file = FolderFile("10.jsonc", json.dumps(merged).encode())
    checked = check_folder(FolderSnapshot((file,), (), ()), merged.get("deployment"))
    # A null removes a setting in a file but has the wrong type in merged settings.
    if "null" not in json.dumps(merged):
        assert checked.is_ok() is isinstance(policy, DeploymentPolicy)


@given(VALUES | corrupt(json.loads(json.dumps(dump_envelope(make_envelope(2, "d1"))))))
@settings(PROFILE)
def test_any_value_loads_as_envelope_or_is_rejected(document: Any) -> None:
    """Guards against a stored object that crashes a process, or a forged one that is accepted."""
    original = make_envelope(2, "d1")
    with contextlib.suppress(ValueError):
        load_envelope(document)
    decision, accepted = accept_document(None, document, APPROVERS, 0.0)
    assert (accepted is not None) is (decision.verdict is EnvelopeVerdict.ACCEPTED)
    if accepted is not None:
        assert accepted.envelope._replace(signatures=()) == original._replace(signatures=())


@given(VALUES.filter(lambda value: isinstance(value, dict)) | corrupt(make_merged()))
@settings(PROFILE)
def test_any_base_can_be_described(merged: Any) -> None:
    """Guards against a malformed stored object that prevents operators from viewing a change."""
    base = make_envelope(keys=[])._replace(merged=merged)
    assert describe_effect(base, make_envelope(2, base.digest, keys=[]), {})


@given(st.text() | VALUES.map(json.dumps))
@settings(PROFILE)
def test_any_text_loads_as_approval_or_is_rejected(text: str) -> None:
    """Guards against an approval file that stops the folder watcher."""
    result = load_approval(text)
    assert result.is_ok() or "approve again" in str(result.unwrap_err())


def test_key_ids_in_the_cases_are_distinct() -> None:
    """Guards against test keys that are equal, so that tests cannot tell two approvers apart."""
    assert len({key.public_key for key in KEYS}) == len(KEYS)
