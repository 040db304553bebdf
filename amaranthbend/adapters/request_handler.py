"""Interface between the requests of callers and the filter chain."""

from typing import TYPE_CHECKING, Protocol

from ..core.buffers import BufferBudget
from ..core.outcomes import Outcome
from ..filters.local_responses import LocalResponse
from .caller_guard import CallerGuard
from .dialect import Dialect

if TYPE_CHECKING:
    from .caller import CallerRequest

__all__ = ["RequestHandler"]


class RequestHandler(Protocol):
    """Handles the requests of callers; implemented by the filter chain."""

    held_body_bytes: int
    buffers: BufferBudget
    guard: CallerGuard
    is_draining: bool
    dialect: Dialect

    def check(self, request: "CallerRequest") -> LocalResponse | None:
        """Check the head of a request; return a response if it is refused."""

    def run(self, request: "CallerRequest") -> None:
        """Process a request whose body is complete or will be streamed."""

    def abandon(self, request: "CallerRequest") -> None:
        """Cancel a request whose caller has disconnected or sent invalid input."""

    def record_end(self, request: "CallerRequest", outcome: Outcome, reason: str) -> None:
        """Record the outcome of a request that has ended."""
