"""Records of what ran on a backend server stand-in."""

import enum
from dataclasses import asdict, dataclass, field
from typing import Any


class RunState(enum.Enum):
    """How far a run came."""

    RUNNING = "running"
    ANSWERED = "answered"
    CHILD_FAILED = "child-failed"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    BROKEN = "broken"


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of an operation; times are of the machine's monotonic clock."""

    root_id: str
    operation: str
    request_id: str
    started_at_ms: float
    ended_at_ms: float | None = None
    busy_ms: float = 0.0
    """Time of the operation's own work, without its child calls."""
    state: RunState = RunState.RUNNING
    child_attempts: int = 0


@dataclass(slots=True, kw_only=True)
class RunLog:
    """All runs since the start, and counts that stay when runs aren't recorded."""

    record: bool
    runs: list[Run] = field(default_factory=list)
    started: int = 0
    answered: int = 0
    shed: int = 0

    def start(
        self, *, root_id: str, operation: str, request_id: str, now_ms: float
    ) -> Run:
        """Record that an operation starts to run."""
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
        """Record how a run ended."""
        run.state = state
        run.ended_at_ms = now_ms
        self.answered += state is RunState.ANSWERED

    def report(self) -> list[dict[str, Any]]:
        """Return all runs as plain data."""
        return [asdict(run) | {"state": run.state.value} for run in self.runs]
