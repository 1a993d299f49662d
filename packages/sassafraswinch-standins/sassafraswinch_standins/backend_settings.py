"""Settings of the backend server stand-in."""

import enum
import re
from typing import Any

from pydantic import Field

from sassafraswinch_standins.serving import StrictModel


class Order(enum.Enum):
    """How an operation makes its child calls."""

    SEQUENTIAL = "sequential"
    PARALLEL = "parallel"


class Honesty(enum.Enum):
    """What ``/load`` and ``/health`` say."""

    LAGGING = "lagging"
    """The state of ``report_lag_ms`` ago."""
    MISLEADING = "misleading"
    """Always idle and well."""
    HANGING = "hanging"
    """No answer."""


class Fault(enum.Enum):
    """How calls fail on demand."""

    NONE = "none"
    HANG = "hang"
    """Calls start and never end."""
    CUT = "cut"
    """Calls run, and the connection closes in the middle of the answer."""
    ERROR = "error"
    """Calls run and answer 500."""


class ChildCall(StrictModel):
    """A call that an operation makes through its node's egress."""

    service: str
    method: str = "GET"
    path: str
    """May hold ``{id}``, which becomes the id of the child call."""
    answer_bytes: int = 200
    repeats: int = 0
    """Repeats by the service itself when the child call fails."""


class OperationPlan(StrictModel):
    """What an operation does."""

    name: str
    method: str = "GET"
    path: str
    """Path with ``{name}`` for any one segment, as in the document."""
    service_time_ms: float = 20.0
    """Mean of the operation's own work, without its child calls."""
    sigma: float = 0.3
    """Shape of the lognormal service time."""
    order: Order = Order.SEQUENTIAL
    calls: list[ChildCall] = []

    def pattern(self) -> re.Pattern[str]:
        """Return the pattern that paths of this operation match whole."""
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
    """Calls that run at once."""
    backlog: int = 16
    """Calls that wait for a slot; any more are shed."""
    hold_slot_during_calls: bool = True
    """Whether a call keeps its slot while its child calls run, as a thread would."""
    child_timeout_ms: float = 10_000.0
    seed: int = 1
    cold_start_ms: float = 0.0
    """Time from the start until service times are normal."""
    cold_factor: float = 4.0
    """Factor on service times at the start; it falls linearly to 1."""
    report_lag_ms: float = 2_000.0
    honesty: Honesty = Honesty.LAGGING
    record_runs: bool = True
    operations: list[OperationPlan] = []


class BackendControl(StrictModel):
    """Body of ``POST /control``; each field that is given is carried out."""

    slow_factor: float | None = Field(default=None, gt=0)
    """Factor on all service times."""
    drain: bool | None = None
    """Refuses new calls and lets running ones end."""
    fault: Fault | None = None
    honesty: Honesty | None = None
    slots: int | None = None
    cold_start: bool | None = None
    """Begins the cold start again."""
    forget_runs: bool | None = None

    def given(self) -> dict[str, Any]:
        """Return the fields that the order names."""
        return self.model_dump(exclude_none=True)
