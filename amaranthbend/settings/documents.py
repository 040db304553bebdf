"""Parser for JSON with comments that records the position of every key.

Only programs that read settings files import this module; a serving process
reads the merged settings of an envelope, which are plain JSON.
"""

import json
import math
import re
from collections.abc import Callable
from typing import Any, NamedTuple

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from ..core.errors import SettingsError
from .schema import SettingPath, format_path

__all__ = ["MAX_DEPTH", "ParsedDocument", "Position", "parse_document", "scan_document"]

# Limits the recursion over parsed values; the deepest valid setting has 4 levels.
MAX_DEPTH = 32

GRAMMAR = r"""
start: value
?value: object | array | STRING | NUMBER | TRUE | FALSE | NULL
object: "{" [member ("," member)* [","]] "}"
member: STRING ":" value
array: "[" [value ("," value)* [","]] "]"
STRING: /"(?:[^"\\\x00-\x1f]|\\(?:["\\\/bfnrt]|u[0-9a-fA-F]{4}))*"/
NUMBER: /-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?(?![0-9A-Za-z_.+-])/
TRUE: /true(?![0-9A-Za-z_])/
FALSE: /false(?![0-9A-Za-z_])/
NULL: /null(?![0-9A-Za-z_])/
WHITESPACE: /[ \t\r\n]+/
LINE_COMMENT: /\/\/[^\n]*/
BLOCK_COMMENT: /\/\*[\s\S]*?\*\//
%ignore WHITESPACE
%ignore LINE_COMMENT
%ignore BLOCK_COMMENT
"""

# Editors may show these characters as a line break, show nothing, or reorder the text
# around them, so that a reviewer would approve something other than what is parsed.
MISLEADING_CHARACTER = re.compile(
    "[\x00-\x08\x0b\x0c\x0e-\x1f\x7f-\x9f\u200b-\u200f\u2028-\u202e\u2060-\u2069\ufeff"
    "\ud800-\udfff]|\r(?!\n)"
)


class Position(NamedTuple):
    """Line and column in a file, both counted from 1."""

    line: int
    column: int


class ParsedDocument(NamedTuple):
    """Value of a settings file, and the position of every key and array element.

    Parameters
    ----------
    value : dict
        The settings, with `None` for those to remove.
    positions : dict of tuple to Position
        Position by path; the empty path is the document itself.
    """

    value: dict[str, Any]
    positions: dict[SettingPath, Position]


class _Member(NamedTuple):
    key: str
    position: Position
    node: "_Node"


class _Node(NamedTuple):
    """A value with its position; `content` is the members, the elements or the scalar value."""

    position: Position
    depth: int
    content: Any


class _ObjectMembers(tuple[_Member, ...]):
    """Members of an object."""


class _ArrayElements(tuple[_Node, ...]):
    """Elements of an array."""


class _TreeBuilder(Transformer[Token, _Node]):
    """Builds nodes during parsing, so that deeply nested input needs no recursion."""

    def STRING(self, token: Token) -> _Node:  # noqa: N802 - lark calls the method named like the terminal
        return _Node(_locate(token), 0, json.loads(token))

    def NUMBER(self, token: Token) -> _Node:  # noqa: N802
        return _Node(_locate(token), 0, _convert_number(token))

    def TRUE(self, token: Token) -> _Node:  # noqa: N802
        return _Node(_locate(token), 0, True)

    def FALSE(self, token: Token) -> _Node:  # noqa: N802
        return _Node(_locate(token), 0, False)

    def NULL(self, token: Token) -> _Node:  # noqa: N802
        return _Node(_locate(token), 0, None)

    def member(self, children: list[Any]) -> _Member:
        key, node = children
        return _Member(key.content, key.position, node)

    def object(self, children: list[Any]) -> _Node:
        members = _ObjectMembers(child for child in children if child is not None)
        deepest = max((member.node.depth for member in members), default=0)
        start = members[0].position if members else Position(1, 1)
        return _Node(start, deepest + 1, members)

    def array(self, children: list[Any]) -> _Node:
        elements = _ArrayElements(child for child in children if child is not None)
        deepest = max((element.depth for element in elements), default=0)
        start = elements[0].position if elements else Position(1, 1)
        return _Node(start, deepest + 1, elements)

    def start(self, children: list[_Node]) -> _Node:
        return children[0]


def _locate(token: Token) -> Position:
    return Position(token.line or 1, token.column or 1)


def _convert_number(token: Token) -> int | float:
    """Return the number, or infinity, which is rejected later, if it is too large."""
    if not any(mark in token for mark in ".eE"):
        # int() rejects very long digit strings; numbers of 4,000 digits exceed every valid range.
        return int(token) if len(token) < 4000 else math.inf
    return float(token)


_PARSER = Lark(
    GRAMMAR,
    parser="lalr",
    transformer=_TreeBuilder(),
    maybe_placeholders=False,
)


def parse_document(text: str, file: str) -> ParsedDocument:
    """Return the value of a settings file with the position of every key.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for messages.

    Raises
    ------
    SettingsError
        If the text is not a JSON object with comments, or repeats a key.
    """
    document, problems = scan_document(text, file)
    if document is None or problems:
        raise problems[0]
    return document


def scan_document(text: str, file: str) -> tuple[ParsedDocument | None, list[SettingsError]]:
    """Return the document, or None if the text cannot be parsed as one, and all problems found.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, for messages.
    """
    misleading = MISLEADING_CHARACTER.search(text)
    if misleading:
        return None, [_describe_misleading_character(text, misleading.start(), file)]
    try:
        root: Any = _PARSER.parse(text)
    except UnexpectedInput as error:
        return None, [_describe_syntax_error(error, text, file)]
    if not isinstance(root.content, _ObjectMembers):
        problem = "the file holds a single value or an array, not an object"
        return None, [SettingsError(file, 1, "(file)", problem, "enclose the settings in { }")]
    if root.depth > MAX_DEPTH:
        problem = f"{root.depth} levels of nesting, at most {MAX_DEPTH} are valid"
        return None, [SettingsError(file, 1, "(file)", problem, "remove the extra levels")]
    problems: list[SettingsError] = []
    positions: dict[SettingPath, Position] = {(): Position(1, 1)}

    def report(path: SettingPath, position: Position, problem: str, remedy: str) -> None:
        problems.append(SettingsError(file, position.line, format_path(path), problem, remedy))

    value = _flatten(root, (), positions, report)
    return ParsedDocument(value, positions), problems


_Report = Callable[[SettingPath, Position, str, str], None]


def _flatten(
    node: _Node, path: SettingPath, positions: dict[SettingPath, Position], report: _Report
) -> Any:
    """Return the plain value of a node and record the positions of its descendants."""
    content = node.content
    if isinstance(content, _ObjectMembers):
        return _flatten_object(content, path, positions, report)
    if isinstance(content, _ArrayElements):
        values = []
        for index, element in enumerate(content):
            positions[(*path, index)] = element.position
            values.append(_flatten(element, (*path, index), positions, report))
        return values
    if isinstance(content, float) and not math.isfinite(content):
        report(path, node.position, "the number is too large", "use a number within the range")
        return 0
    if isinstance(content, str) and MISLEADING_CHARACTER.search(content):
        problem = f"{content!r} holds a control or invisible character"
        report(path, node.position, problem, "remove the escape sequence")
        return ""
    return content


def _flatten_object(
    members: _ObjectMembers,
    path: SettingPath,
    positions: dict[SettingPath, Position],
    report: _Report,
) -> dict[str, Any]:
    value: dict[str, Any] = {}
    for member in members:
        child_path = (*path, member.key)
        if MISLEADING_CHARACTER.search(member.key):
            problem = f"the key {member.key!r} holds a control or invisible character"
            report(path, member.position, problem, "remove the escape sequence")
            continue
        if member.key in value:
            first = positions[child_path].line
            problem = f"the key {member.key!r} is already set on line {first}"
            report(child_path, member.position, problem, "keep one of the two")
            continue
        positions[child_path] = member.position
        value[member.key] = _flatten(member.node, child_path, positions, report)
    return value


def _describe_misleading_character(text: str, index: int, file: str) -> SettingsError:
    line = text.count("\n", 0, index) + 1
    problem = f"character U+{ord(text[index]):04X} is invisible or changes how the text is shown"
    remedy = "remove it; end lines with LF or CR LF"
    return SettingsError(file, line, "(file)", problem, remedy)


def _describe_syntax_error(error: UnexpectedInput, text: str, file: str) -> SettingsError:
    """Return an error with the line, the unexpected text and what would be valid there."""
    last_line = text.count("\n") + 1
    if isinstance(error, UnexpectedToken) and error.token.type == "$END":
        problem = "the file ends before the object is complete" if text.strip() else "empty file"
        remedy = "complete the file; an object without settings is {}"
        return SettingsError(file, last_line, "(file)", problem, remedy)
    line = error.line if 1 <= error.line <= last_line else last_line
    if isinstance(error, UnexpectedToken):
        found = str(error.token)
    else:
        found = _get_rest_of_line(text, error)
    expected = sorted({_TERMINAL_NAMES.get(name, name) for name in _list_expected(error)})
    problem = f"unexpected {found[:40]!r} in column {error.column}, valid here: " + ", ".join(
        expected
    )
    return SettingsError(file, line, "(file)", problem, _choose_remedy(found))


def _list_expected(error: UnexpectedInput) -> set[str]:
    if isinstance(error, UnexpectedToken):
        return set(error.accepts or error.expected)
    if isinstance(error, UnexpectedCharacters):
        ignored = {"WHITESPACE", "LINE_COMMENT", "BLOCK_COMMENT"}
        return set(error.allowed or ()) - ignored
    return set()


def _get_rest_of_line(text: str, error: UnexpectedInput) -> str:
    start = error.pos_in_stream or 0
    return text[start:].split("\n", 1)[0]


def _choose_remedy(found: str) -> str:
    """Return the remedy for a common mistake, or a general one."""
    if found.startswith("/*"):
        return "close the comment with */"
    if found.startswith("'"):
        return 'use double quotes: "'
    if found.startswith('"'):
        return "add the comma or the closing quote that is missing before or in this text"
    if found[:1].isalpha():
        return "put names and texts in double quotes; the bare words are true, false, null"
    return "correct the text at this position"


_TERMINAL_NAMES = {
    "LBRACE": "{",
    "RBRACE": "}",
    "LSQB": "[",
    "RSQB": "]",
    "COMMA": "a comma",
    "COLON": "a colon",
    "STRING": "a text in double quotes",
    "NUMBER": "a number",
    "TRUE": "true",
    "FALSE": "false",
    "NULL": "null",
    "$END": "the end of the file",
}
