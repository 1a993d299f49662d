"""Execution records of a backend server stand-in."""

import enum
from dataclasses import asdict, dataclass, field
from typing import Any


class RunState(enum.Enum):
    """State of a run: running, or how it ended."""

    RUNNING = "running"
    ANSWERED = "answered"
    CHILD_FAILED = "child-failed"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    BROKEN = "broken"


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of an operation; times are readings of the host's monotonic clock."""

    root_id: str
    operation: str
    request_id: str
    started_at_ms: float
    ended_at_ms: float | None = None
    busy_ms: float = 0.0
    """Time spent on the operation itself, without its child calls."""
    state: RunState = RunState.RUNNING
    child_attempts: int = 0


@dataclass(slots=True, kw_only=True)
class RunLog:
    """Runs since the start of the server, and counters.

    The counters are kept even if ``record`` is off and runs aren't stored.
    """

    record: bool
    runs: list[Run] = field(default_factory=list)
    started: int = 0
    answered: int = 0
    shed: int = 0

    def start(
        self, *, root_id: str, operation: str, request_id: str, now_ms: float
    ) -> Run:
        """Record the start of a run."""
        run = Run(
            root_id=root_id,
            operation=operation,
            request_id=request_id,
            started_at_ms=now_ms,
        )
        self.started += 1
        if self.record:
            self.runs.append(run)
        return run

    def finish(self, run: Run, state: RunState, now_ms: float) -> None:
        """Record the end of a run and its final state."""
        run.state = state
        run.ended_at_ms = now_ms
        self.answered += state is RunState.ANSWERED

    def report(self) -> list[dict[str, Any]]:
        """Return all recorded runs as plain data."""
        return [asdict(run) | {"state": run.state.value} for run in self.runs]
