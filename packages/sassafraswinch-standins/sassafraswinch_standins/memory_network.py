"""In-memory network between processes, with injected connection faults."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from sassafraswinch_standins.memory_channels import Channel, End, Frame
from sassafraswinch_standins.memory_links import MemoryLinks
from sassafraswinch_standins.memory_peers import DialledLink
from sassafraswinch_standins.memory_schedule import Action, Schedule

NEAR_MS = 0.2
"""One-way latency within an availability zone."""
ACROSS_MS = 1.5
"""One-way latency between availability zones."""


class Process(Protocol):
    """Interface of a running node process to the network."""

    host: str
    availability_zone: str
    links: MemoryLinks

    def post(self, action: Action) -> None:
        """Run an action as soon as the process is not paused; never if it ended."""


@dataclass(slots=True, kw_only=True, eq=False)
class Connection:
    """Both directions of a connection, with the two processes at its ends."""

    dialler: Process
    acceptor: Process
    outward: Channel
    homeward: Channel

    @property
    def channels(self) -> tuple[Channel, Channel]:
        """Both directions."""
        return self.outward, self.homeward

    def joins(self, first: str, second: str) -> bool:
        """Return whether it connects these two hosts."""
        return {self.dialler.host, self.acceptor.host} == {first, second}

    def crosses(self, zones: frozenset[str]) -> bool:
        """Return whether exactly one of its ends is in ``zones``."""
        inside = self.dialler.availability_zone in zones
        return inside != (self.acceptor.availability_zone in zones)


class MemoryNetwork:
    """Network that opens connections between processes and injects faults in them.

    Args:
        schedule: the simulated clock.
        running: returns the process that runs on a host, None if none does.
    """

    def __init__(self, *, schedule: Schedule, running: Callable[[str], Process | None]):
        self.schedule = schedule
        self.running = running
        self.zones_cut: frozenset[str] = frozenset()
        self._connections: list[Connection] = []

    def connect(self, dialler: Process, link: DialledLink) -> bool:
        """Open a connection to the host of a link; return False if it is refused."""
        acceptor = self.running(link.host)
        if acceptor is None:
            return False
        is_cross_zone = dialler.availability_zone != acceptor.availability_zone
        latency_ms = ACROSS_MS if is_cross_zone else NEAR_MS
        accepted = End(last_read_ms=self.schedule.now_ms)
        outward = self._channel(
            latency_ms,
            acceptor,
            lambda frame: acceptor.links.read_accepted(accepted, frame),
        )
        homeward = self._channel(
            latency_ms, dialler, lambda frame: dialler.links.read_dialled(link, frame)
        )
        link.end.channel, accepted.channel = outward, homeward
        link.end.last_read_ms = self.schedule.now_ms
        connection = Connection(
            dialler=dialler, acceptor=acceptor, outward=outward, homeward=homeward
        )
        self._connections.append(connection)
        acceptor.links.accept(accepted)
        if connection.crosses(self.zones_cut):
            _hold(connection)
        return True

    def silence(self, first: str, second: str) -> None:
        """Stall the open connections between two hosts; new ones work."""
        for connection in self._connections:
            if connection.joins(first, second):
                _hold(connection)

    def silence_outward(self, first: str, second: str) -> None:
        """Stall one direction of the connections that ``first`` dialled."""
        for connection in self._connections:
            ends = connection.dialler.host, connection.acceptor.host
            if ends == (first, second):
                connection.outward.hold()

    def swallow(self, first: str, second: str) -> None:
        """Drop all frames on the open connections between two hosts from now on."""
        for connection in self._connections:
            if connection.joins(first, second):
                for channel in connection.channels:
                    channel.cut()

    def release(self) -> None:
        """Resume stalled connections and deliver the frames they held back."""
        for connection in self._connections:
            if not connection.crosses(self.zones_cut):
                for channel in connection.channels:
                    channel.release()

    def cut_zones(self, zones: frozenset[str]) -> None:
        """Partition availability zones from the others."""
        self.zones_cut = zones
        for connection in self._connections:
            if connection.crosses(zones):
                _hold(connection)

    def heal_zones(self) -> None:
        """End the network partition of availability zones."""
        self.zones_cut = frozenset()
        self.release()

    def process_gone(self, process: Process, *, quiet: bool) -> None:
        """Close the connections of a process that ended.

        Args:
            process: the ended process.
            quiet: whether its host crashed too, so that peers see no close.
        """
        if not quiet:
            process.links.close()
            return
        affected = [c for c in self._connections if process in (c.dialler, c.acceptor)]
        for connection in affected:
            for channel in connection.channels:
                channel.cut()
        self._connections = [c for c in self._connections if c not in affected]

    def undisturbed(self, dialler: Process, host: str) -> bool:
        """Return whether no connection of ``dialler`` to ``host`` ever failed."""
        return not any(
            channel.disturbed
            for connection in self._connections
            if connection.dialler is dialler and connection.acceptor.host == host
            for channel in connection.channels
        )

    def reachable(self, first: str, second: str) -> bool:
        """Return whether two availability zones can reach each other."""
        return (first in self.zones_cut) == (second in self.zones_cut)

    def _channel(
        self, latency_ms: float, reader: Process, read: Callable[[Frame], None]
    ) -> Channel:
        return Channel(
            schedule=self.schedule,
            latency_ms=latency_ms,
            deliver=lambda frame: reader.post(lambda: read(frame)),
        )


def _hold(connection: Connection) -> None:
    for channel in connection.channels:
        channel.hold()
