"""A connection between two nodes in memory: ordered, slow, silent or closed."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from sassafraswinch.messages import Hello, Message
from sassafraswinch_standins.memory_schedule import Schedule

JITTER_MS = 0.4
"""Longest extra delay of a frame."""


@dataclass(frozen=True, slots=True)
class Closed:
    """The last frame of a channel: the other end has closed the connection."""


CLOSED = Closed()

Frame = Message | Closed


class Channel:
    """One direction of a connection; frames arrive in order, or not at all.

    ``hold`` models a connection that something between its ends has lost track of:
    what is written stays on the way, and may still arrive long after both ends
    went on with a new connection. ``cut`` models that it never arrives.
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
        self._on_the_way: deque[Frame] = deque()
        self.holding = False
        self.is_cut = False
        self.disturbed = False
        """Whether anything was ever held or lost."""

    def write(self, frame: Frame) -> None:
        """Send a frame on its way."""
        if self.is_cut:
            return
        if self.holding:
            self._held.append(frame)
            return
        delay_ms = self._latency_ms + self._schedule.rng.uniform(0, JITTER_MS)
        now_ms = self._schedule.now_ms
        self._arrives_at_ms = max(self._arrives_at_ms, now_ms + delay_ms)
        self._on_the_way.append(frame)
        self._schedule.after(self._arrives_at_ms - now_ms, self._arrive)

    def hold(self) -> None:
        """Let nothing through from now on, not even what is on its way."""
        self.holding = self.disturbed = True
        self._held.extend(self._on_the_way)
        self._on_the_way.clear()

    def release(self) -> None:
        """Send on what was held, in order."""
        if not self.holding:
            return
        self.holding = False
        held, self._held = self._held, deque()
        for frame in held:
            self.write(frame)

    def cut(self) -> None:
        """Drop what is on its way and all that is written from now on."""
        self.is_cut = self.disturbed = True
        self._held.clear()
        self._on_the_way.clear()

    def _arrive(self) -> None:
        if self._on_the_way:
            self._deliver(self._on_the_way.popleft())


@dataclass(slots=True, kw_only=True, eq=False)
class End:
    """One end of a connection, as its process sees it."""

    channel: Channel | None = None
    """Carries what this end writes."""
    is_open: bool = True
    hello: Hello | None = None
    """The peer's greeting, once it is accepted."""
    last_read_ms: float = 0.0

    def write(self, frame: Frame) -> bool:
        """Write a frame; False: nothing was or will be written."""
        if not self.is_open:
            return False
        self.channel.write(frame)
        return True

    def close(self) -> None:
        """Close this end after what was written; it reads nothing any more."""
        if self.is_open and self.channel is not None:
            self.channel.write(CLOSED)
        self.is_open = False
