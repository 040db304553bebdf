"""Tests of the settings file parser."""

import pytest

from amaranthbend.core.errors import SettingsError
from amaranthbend.settings.documents import parse_document, scan_document

COMMENTED = """// deployment
{
  "deployment": "eeslikoda", /* two
  lines */ "routes": {
    "a": {"methods": ["GET",
                      "HEAD",],},
  },
  "x": [1, -2.5e1, true, false, null, "\\u00e4//\\n"],
}
"""


def test_values_and_positions() -> None:
    """Guards against comments that shift the line number in an error."""
    document = parse_document(COMMENTED, "a.jsonc")
    assert document.value["x"] == [1, -25.0, True, False, None, "ä//\n"]
    assert document.value["routes"] == {"a": {"methods": ["GET", "HEAD"]}}
    assert document.positions["routes", "a", "methods", 1].line == 6
    assert document.positions["x",].line == 8


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ("", 1, "empty file"),
        ('{"a": 1', 1, "ends before the object is complete"),
        ('{\n"a": 1\n"b": 2}', 3, "comma"),
        ("{\n'a': 1}", 2, "double quotes"),
        ('{"a":\n nil}', 2, "bare words"),
        ('{"a": 1}\n/* open', 2, "close the comment"),
        ('{"a": 01}', 1, "unexpected"),
        ('{"a": ٣}', 1, "unexpected"),
        ("[1]", 1, "not an object"),
        ('{"a": 1e999}', 1, "too large"),
        ('{"a": ' + "9" * 5000 + "}", 1, "too large"),
        ('{"a": ' + "[" * 40 + "]" * 40 + "}", 1, "levels of nesting"),
        ('{"a": ' + "[" * 40000, 1, "ends before"),
        ('{\n// note \r"a": 1\n}', 2, "U+000D"),
        ('{\n"a": "x\u202ey"}', 2, "U+202E"),
        ('{\n"a": "\\ud800"}', 2, "invisible"),
    ],
)
def test_bad_text_names_line_and_remedy(text: str, line: int, message: str) -> None:
    """Guards against errors without line or remedy, and text that a reviewer sees differently."""
    with pytest.raises(SettingsError, match=r"a\.jsonc:\d+: ") as caught:
        parse_document(text, "a.jsonc")
    assert caught.value.line == line
    assert message in str(caught.value)


def test_all_repeated_keys_are_reported() -> None:
    """Guards against a repeated key that silently replaces the approved value."""
    text = '{"a": 1,\n"a": 2,\n"b": {"c": 1,\n"c": 2}}'
    _, problems = scan_document(text, "a.jsonc")
    assert [(problem.line, problem.setting) for problem in problems] == [(2, "a"), (4, "b.c")]
    with pytest.raises(SettingsError, match="already set on line 1"):
        parse_document(text, "a.jsonc")
