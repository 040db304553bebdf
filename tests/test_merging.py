"""Tests of merging and validating settings files."""

import json
import time

import pytest

from amaranthbend.core.errors import SettingsError
from amaranthbend.settings.documents import parse_document
from amaranthbend.settings.merging import MergedSettings, merge_documents

from .settings_cases import MERGED


def merge(*texts: str) -> MergedSettings | list[SettingsError]:
    """Merge further files into a valid base file; return the result or the errors."""
    files = [json.dumps(MERGED), *texts]
    names = [f"{i}0.jsonc" for i in range(len(files))]
    documents = {name: parse_document(text, name) for name, text in zip(names, files, strict=True)}
    result = merge_documents(documents)
    return result.ok_value if result.is_ok() else result.err_value  # type: ignore[union-attr]


def test_objects_merge_values_replace_null_removes() -> None:
    """Guards against a file that changes settings it does not name, or misses one it does."""
    merged = merge(
        '{"routes": {"profiles": {"deadline_ms": 900, "methods": ["GET"]}}}',
        '{"services": {"adopt-desk": {"limits": null}}}',
    )
    assert isinstance(merged, MergedSettings)
    profiles = {**MERGED["routes"]["profiles"], "deadline_ms": 900, "methods": ["GET"]}
    assert merged.value["routes"] == {"profiles": profiles}
    assert merged.value["services"] == {"adopt-desk": {"slots_per_upstream": 6}}
    assert merged.origins["routes", "profiles", "deadline_ms"].file == "10.jsonc"
    assert merged.origins["routes", "profiles", "service"].file == "00.jsonc"


def test_removal_names_itself_and_what_depends_on_it() -> None:
    """Guards against a removal that leaves a route without a service."""
    errors = merge(
        '{"services": {"archive-shelf": {"slots_per_upstream": 6}}}',
        '{\n"routes": {"vet": {"path_prefix": "/vet", "methods": ["GET"],\n'
        '"service": "archive-shelf"}}}',
        '{"services": {\n\n"archive-shelf": null}}',
    )
    assert isinstance(errors, list)
    assert len(errors) == 1
    assert (errors[0].file, errors[0].line) == ("30.jsonc", 3)
    assert errors[0].setting == "services.archive-shelf"
    assert "routes.vet.service (20.jsonc:3) depends on it" in str(errors[0])


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"routes": {"profiles": {"deadline_s": 5}}}', "deadline_ms"),
        ('{"servces": {}}', "services"),
        ('{"services": {"adopt-desk": {"slots_per_upstream": "6"}}}', "whole number from 1"),
        ('{"services": {"adopt-desk": {"slots_per_upstream": true}}}', "True is not valid"),
        ('{"services": {"adopt-desk": {"limits": {"long_share": 1.5}}}}', "from 0 to 1"),
        ('{"services": {"adopt-desk": {"connections_per_upstream": 9}}}', "at least 16"),
        ('{"routes": {"profiles": {"methods": ["FETCH"]}}}', "GET, HEAD"),
        ('{"routes": {"profiles": {"methods": ["GET", "GET"]}}}', "listed twice"),
        ('{"routes": {"profiles": {"service": "adopt-dsk"}}}', "adopt-desk"),
        ('{"routes": {"profiles": {"service": null}}}', "removed here"),
        ('{"routes": {"profiles": {"idempotent": true, "claim": "required"}}}', "contradicts"),
        ('{"routes": {"profiles": null}}', "no entry"),
        ('{"routes": {"profilez": null}}', "profiles"),
        ('{"routes": 5}', "use an object"),
        (
            '{"routes": {"b": {"path_prefix": "/donkeys/", "methods": ["GET"], '
            '"service": "adopt-desk"}}}',
            "already matched by routes.profiles",
        ),
    ],
)
def test_bad_settings_name_file_line_and_remedy(text: str, expected: str) -> None:
    """Guards against accepted invalid values, and errors without file, line and remedy."""
    errors = merge("{\n" + text[1:])
    assert isinstance(errors, list)
    assert expected in str(errors[0])
    assert str(errors[0]).startswith("10.jsonc:2: ")


def test_all_problems_are_reported_together() -> None:
    """Guards against reporting only the first error, so that each needs another run."""
    errors = merge('{"entry_hosts_max": 0,\n"probing": {"cpu_share": 2},\n"x": 1, "y": null}')
    assert isinstance(errors, list)
    settings = {error.setting for error in errors}
    assert settings == {"entry_hosts_max", "probing.cpu_share", "x", "y"}


def test_merge_time_grows_with_the_size_only() -> None:
    """Guards against a quadratic merge, which searches all settings for each one.

    With the design size of 820 services such a merge took 56 s; changes must take effect
    within 7 s.
    """
    service = {"slots_per_upstream": 6, "limits": {"long_share": 0.3}, "retries": {"ratio": 0.1}}
    route = {"methods": ["GET", "HEAD"], "deadline_ms": 900, "path_prefix": "/", "service": ""}
    texts = []
    for number in range(820):
        name = f"service-{number}"
        own = {**route, "path_prefix": f"/{number}", "service": name}
        texts.append(json.dumps({"services": {name: service}, "routes": {name: own}}))
    started_at = time.process_time()
    assert isinstance(merge(*texts), MergedSettings)
    assert time.process_time() - started_at < 7
