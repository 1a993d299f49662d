"""In-memory connection between two nodes, with latency and injected faults."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from sassafraswinch.messages import Hello, Message
from sassafraswinch_standins.memory_schedule import Schedule

JITTER_MS = 0.4
"""Maximum random delay of a frame in addition to the latency."""


@dataclass(frozen=True, slots=True)
class Closed:
    """Last frame of a channel: the other end has closed the connection."""


CLOSED = Closed()

Frame = Message | Closed


class Channel:
    """One direction of a connection; frames arrive in order or are lost.

    ``hold`` models a connection that stalls in the network between its ends: frames
    stay in transit and may still arrive long after both ends have switched to a new
    connection. ``cut`` models that they never arrive.
    """

    def __init__(
        self,
        *,
        schedule: Schedule,
        latency_ms: float,
        deliver: Callable[[Frame], None],
    ):
        self._schedule = schedule
        self._latency_ms = latency_ms
        self._deliver = deliver
        self._arrives_at_ms = 0.0
        self._held: deque[Frame] = deque()
        self._in_transit: deque[Frame] = deque()
        self.holding = False
        self.is_cut = False
        self.disturbed = False
        """Whether frames were ever held back or dropped."""

    def write(self, frame: Frame) -> None:
        """Schedule the delivery of a frame, hold it back or drop it."""
        if self.is_cut:
            return
        if self.holding:
            self._held.append(frame)
            return
        delay_ms = self._latency_ms + self._schedule.rng.uniform(0, JITTER_MS)
        now_ms = self._schedule.now_ms
        self._arrives_at_ms = max(self._arrives_at_ms, now_ms + delay_ms)
        self._in_transit.append(frame)
        self._schedule.after(self._arrives_at_ms - now_ms, self._arrive)

    def hold(self) -> None:
        """Hold back all frames from now on, including those in transit."""
        self.holding = self.disturbed = True
        self._held.extend(self._in_transit)
        self._in_transit.clear()

    def release(self) -> None:
        """Resume delivery, in order, beginning with the frames held back."""
        if not self.holding:
            return
        self.holding = False
        held, self._held = self._held, deque()
        for frame in held:
            self.write(frame)

    def cut(self) -> None:
        """Drop the frames in transit and all that are written from now on."""
        self.is_cut = self.disturbed = True
        self._held.clear()
        self._in_transit.clear()

    def _arrive(self) -> None:
        if self._in_transit:
            self._deliver(self._in_transit.popleft())


@dataclass(slots=True, kw_only=True, eq=False)
class End:
    """One end of a connection."""

    channel: Channel | None = None
    """Carries the frames that this end writes."""
    is_open: bool = True
    hello: Hello | None = None
    """The peer's ``Hello``, once it is accepted."""
    last_read_ms: float = 0.0

    def write(self, frame: Frame) -> bool:
        """Write a frame; return False if this end is closed and nothing was written."""
        if not self.is_open:
            return False
        self.channel.write(frame)
        return True

    def close(self) -> None:
        """Close this end after the frames written so far and stop reading."""
        if self.is_open and self.channel is not None:
            self.channel.write(CLOSED)
        self.is_open = False
