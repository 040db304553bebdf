"""Commands of a program with their arguments, and how they report errors."""

import sys
from collections.abc import Callable
from typing import Any, NoReturn, TypeVar

from result import Err, Result

from ..settings.publishing import Publication

__all__ = ["Invocation", "exit_with_errors", "run_invocation", "unwrap_or_exit"]

T = TypeVar("T")


class Invocation:
    """A command with its arguments, which runs only after Fire has accepted all arguments.

    Fire calls a function before it rejects a misspelt flag. A command that runs in that call
    would already have written its result.

    Parameters
    ----------
    run : callable
        Runs the command.
    """

    def __init__(self, run: Callable[[], None]) -> None:
        self._run = run


def run_invocation(invocation: Invocation) -> None:
    """Run a command; it is no public member, which Fire would offer as a further argument."""
    invocation._run()


def exit_with_errors(*messages: object) -> NoReturn:
    """Print each message to the standard error, and exit with status 1."""
    for message in messages:
        print(message, file=sys.stderr)
    raise SystemExit(1)


def unwrap_or_exit(result: Result[T, Any]) -> T:
    """Return the value, or print all error messages and exit with status 1."""
    if not isinstance(result, Err):
        return result.ok_value
    error = result.err_value
    if isinstance(error, Publication):
        exit_with_errors(*error.messages)
    exit_with_errors(*(error if isinstance(error, list) else [error]))
