"""Settings and control messages of the backend server stand-in."""

import enum
import re
from typing import Any

from pydantic import Field

from sassafraswinch_standins.serving import StrictModel


class Order(enum.Enum):
    """Order in which an operation makes its child calls."""

    SEQUENTIAL = "sequential"
    PARALLEL = "parallel"


class ReportMode(enum.Enum):
    """Accuracy of the reports of ``/load`` and ``/health``."""

    LAGGING = "lagging"
    """Report the state of ``report_lag_ms`` ago."""
    MISLEADING = "misleading"
    """Always report an idle, healthy server."""
    HANGING = "hanging"
    """Never respond."""


class Fault(enum.Enum):
    """Fault injected into calls."""

    NONE = "none"
    HANG = "hang"
    """Calls start and never finish."""
    CUT = "cut"
    """Calls run, and the connection closes in the middle of the response."""
    ERROR = "error"
    """Calls run and respond with status 500."""


class ChildCall(StrictModel):
    """Child call that an operation makes through the egress of its node."""

    service: str
    method: str = "GET"
    path: str
    """Path of the call, where ``{id}`` is replaced by the id of the child call."""
    answer_bytes: int = 200
    repeats: int = 0
    """Retries by the service itself when the child call fails."""


class OperationPlan(StrictModel):
    """Simulated behaviour of one operation."""

    name: str
    method: str = "GET"
    path: str
    """Path template, as in the document: ``{name}`` matches any one segment."""
    service_time_ms: float = 20.0
    """Mean time of the operation's own work, without its child calls."""
    sigma: float = 0.3
    """Shape parameter of the lognormal distribution of service times."""
    order: Order = Order.SEQUENTIAL
    calls: list[ChildCall] = []

    def pattern(self) -> re.Pattern[str]:
        """Return the regular expression that paths of this operation match in full."""
        parts = re.split(r"\{\w+\}", self.path)
        return re.compile("[^/]+".join(map(re.escape, parts)))


class BackendSettings(StrictModel):
    """Settings file of the backend server stand-in."""

    listen: str = "127.0.0.1:0"
    name: str = "backend"
    service: str = "service"
    egress: str | None = None
    """``ip:port`` of the local node's egress listener."""
    slots: int = 8
    """Maximum number of calls that run concurrently."""
    backlog: int = 16
    """Maximum number of calls that wait for a slot; further calls are shed."""
    hold_slot_during_calls: bool = True
    """Whether a call holds its slot during its child calls, as a thread would."""
    child_timeout_ms: float = 10_000.0
    seed: int = 1
    cold_start_ms: float = 0.0
    """Time from the start until service times are back to normal."""
    cold_factor: float = 4.0
    """Factor on service times at the start; it decreases linearly to 1."""
    report_lag_ms: float = 2_000.0
    honesty: ReportMode = ReportMode.LAGGING
    record_runs: bool = True
    operations: list[OperationPlan] = []


class BackendControl(StrictModel):
    """Body of ``POST /control``; each field that is set is applied."""

    slow_factor: float | None = Field(default=None, gt=0)
    """Factor on all service times."""
    drain: bool | None = None
    """Whether to refuse new calls while running ones finish."""
    fault: Fault | None = None
    honesty: ReportMode | None = None
    slots: int | None = None
    cold_start: bool | None = None
    """Restart the cold start."""
    forget_runs: bool | None = None

    def given(self) -> dict[str, Any]:
        """Return the fields that are set."""
        return self.model_dump(exclude_none=True)
