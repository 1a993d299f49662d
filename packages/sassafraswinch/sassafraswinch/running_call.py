"""Running calls: the executing node's state of a call and of its child calls."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field

from sassafraswinch.messages import Call, Load, Rank, ServiceThreshold
from sassafraswinch.requests import CallKey
from sassafraswinch.retry import ChildCalls, RetryAllowance


@dataclass(slots=True, kw_only=True)
class RunningCall:
    """A call from its arrival at the executing node until its answer."""

    key: CallKey
    call: Call
    deadline_at_ms: float
    allowance: RetryAllowance
    span_id: str
    children: ChildCalls
    started_at_ms: float | None = None
    cancelled: bool = False
    thresholds: dict[str, Rank] = field(default_factory=dict)
    """Strictest admission threshold that child calls met, by service."""
    open_children: int = 0
    finished_children: int = 0
    waiting_since_ms: float = 0.0
    waited_ms: float = 0.0

    @property
    def made_child_calls(self) -> bool:
        """Whether any child call was made."""
        return self.open_children + self.finished_children > 0

    def record_child_start(self, now_ms: float) -> None:
        """Record the start of a child call; time with open children isn't self time."""
        if not self.open_children:
            self.waiting_since_ms = now_ms
        self.open_children += 1

    def record_child_end(
        self, now_ms: float, thresholds: Iterable[ServiceThreshold]
    ) -> None:
        """Record the end of a child call and the thresholds that it met."""
        self.open_children -= 1
        self.finished_children += 1
        for service, rank in thresholds:
            self.thresholds[service] = min(rank, self.thresholds.get(service, rank))
        if not self.open_children:
            self.waited_ms += now_ms - self.waiting_since_ms

    def self_time_ms(self, now_ms: float) -> float:
        """Return the time that the backend server spent outside of child calls."""
        waited_ms = self.waited_ms
        if self.open_children:
            waited_ms += now_ms - self.waiting_since_ms
        return max(0.0, now_ms - self.started_at_ms - waited_ms)


def thresholds_met(running: RunningCall, load: Load) -> tuple[ServiceThreshold, ...]:
    """Return the thresholds that a call met at this host and in its child calls."""
    met = dict(running.thresholds)
    if load.threshold is not None:
        service = running.call.service
        met[service] = min(load.threshold, met.get(service, load.threshold))
    return tuple(itertools.starmap(ServiceThreshold, met.items()))
