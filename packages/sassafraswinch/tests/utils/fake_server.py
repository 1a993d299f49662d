"""Gates before fake backend servers, on a simulated clock, event by event."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from sassafraswinch.gate import BackendOutcome, Gate
from sassafraswinch.hosts import HostView
from sassafraswinch.levels import EntryShedder
from sassafraswinch.messages import LEVELS, Load, Rank, ServiceThreshold
from sassafraswinch.routing import Router
from sassafraswinch.verdict import Reason

TICK_MS = 10.0
SHED_MS = 0.5
WAY_MS = 1.5


@dataclass(slots=True, kw_only=True)
class Stream:
    """Poisson arrivals of one class."""

    class_order: int
    rate_per_s: Callable[[float], float]
    deadline_ms: float = 1000.0
    operation: str = "lookup"
    repeats: int = 0
    """Times that a refused caller comes back."""
    obeys: bool = True
    """Comes back when told, or else after 20 ms."""


@dataclass(slots=True, kw_only=True)
class FakeCall:
    stream: Stream
    rank: Rank
    offered_at_ms: float
    repeats_left: int
    first: bool = True
    started_at_ms: float | None = None
    parent: int | None = None
    """Key of the call that made this one."""
    self_time_ms: float | None = None
    failed: bool = False
    """Its child call was refused."""
    threshold: Rank | None = None
    """Told on the answer of its child call."""
    host: "FakeHost | None" = None
    router: Router | None = None


@dataclass(slots=True, kw_only=True)
class Done:
    """What became of one offer."""

    call: FakeCall
    at_ms: float
    outcome: BackendOutcome | Reason

    @property
    def good(self) -> bool:
        call = self.call
        in_time = self.at_ms - call.offered_at_ms <= call.stream.deadline_ms
        return self.outcome is BackendOutcome.OK and in_time and not call.failed


@dataclass(slots=True, kw_only=True)
class FakeServer:
    """Slots and a service time; above its slots it sheds or queues by itself."""

    slots: int
    mean_ms: float
    sheds: bool = True
    slowness: Callable[[float], float] = lambda now_ms: 1.0
    available: Callable[[float], bool] = lambda now_ms: True
    """Sheds every call while false, as a server that drains."""
    onward: "FakeHost | None" = None
    """Called once by each call, which holds its slot meanwhile."""
    running: int = 0
    backlog: deque = field(default_factory=deque)


@dataclass(slots=True, kw_only=True)
class FakeHost:
    """A server, its gate, and the way to it."""

    gate: Gate
    server: FakeServer
    view: HostView
    way_ms: float = 0.0


class Trial:
    """Runs streams of calls through gates to servers and keeps what happened."""

    def __init__(
        self,
        *,
        hosts: list[FakeHost],
        streams: list[Stream],
        seed: int,
        shedder: EntryShedder | None = None,
        routers: Sequence[Router] = (),
    ):
        self.hosts = {host.view.name: host for host in hosts}
        self.server = hosts[0].server
        self.shedder = shedder
        self.routers = routers
        self.rng = random.Random(seed)
        self.streams = streams
        self.now_ms = 0.0
        self.done: list[Done] = []
        self.starts: list[FakeCall] = []
        self.loads: list[tuple[float, object]] = []
        self.fresh: list[FakeCall] = []
        self.entry_refusals = 0
        self._events: list = []
        self._order = itertools.count()
        self._calls: dict[int, FakeCall] = {}
        self._keys = itertools.count()

    def run(self, duration_ms: float) -> "GateSimulation":
        for stream in self.streams:
            self._later(0.0, self._arrive, stream)
        self._later(TICK_MS, self._tick)
        while self._events and self._events[0][0] <= duration_ms:
            self.now_ms, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self

    def _later(self, delay_ms: float, action: Callable, *args) -> None:
        event = (self.now_ms + delay_ms, next(self._order), action, args)
        heapq.heappush(self._events, event)

    def _arrive(self, stream: Stream) -> None:
        rate = stream.rate_per_s(self.now_ms)
        if rate > 0:
            self._call(stream, stream.repeats, first=True)
        pause_ms = self.rng.expovariate(rate / 1000) if rate > 0 else 10.0
        self._later(pause_ms, self._arrive, stream)

    def _call(self, stream: Stream, repeats_left: int, first: bool = False) -> None:
        call = FakeCall(
            stream=stream,
            rank=Rank(stream.class_order, self.rng.randrange(LEVELS)),
            offered_at_ms=self.now_ms,
            repeats_left=repeats_left,
            first=first,
        )
        if first:
            self.fresh.append(call)
        if self.shedder is None:
            self._offer(call)
        elif self.shedder.admits(stream.operation, call.rank, self.now_ms):
            self._later(WAY_MS, self._offer, call)
        else:
            self.entry_refusals += 1
            wait_ms = self.shedder.retry_after_ms(
                stream.operation, call.rank, self.now_ms, self.rng
            )
            self._end(call, Reason.OVERLOADED, wait_ms)

    def _offer(self, call: FakeCall) -> None:
        call.host = host = self._choose(call)
        if host.way_ms:
            self._later(host.way_ms, self._offer_to, call)
        else:
            self._offer_to(call)

    def _choose(self, call: FakeCall) -> FakeHost:
        if not self.routers:
            return next(iter(self.hosts.values()))
        call.router = router = self.rng.choice(self.routers)
        views = [host.view for host in self.hosts.values()]
        view = router.choose(views, excluded=frozenset(), now_ms=self.now_ms)
        router.sent(view.name, self.now_ms)
        return self.hosts[view.name]

    def _offer_to(self, call: FakeCall) -> None:
        key = next(self._keys)
        self._calls[key] = call
        stream = call.stream
        decision = call.host.gate.offer(
            key=key,
            rank=call.rank,
            progress=0,
            operation=stream.operation,
            deadline_at_ms=call.offered_at_ms + stream.deadline_ms,
            now_ms=self.now_ms,
        )
        self._carry_out(decision)

    def _carry_out(self, decision) -> None:
        for refusal in decision.refused:
            call = self._calls.pop(refusal.key)
            self._tell(call, refused=True)
            self._end(call, refusal.reason, refusal.retry_after_ms)
        for key in decision.start:
            call = self._calls[key]
            call.started_at_ms = self.now_ms
            self.starts.append(call)
            self._serve(key, call.host.server)

    def _serve(self, key: int, server: FakeServer) -> None:
        up = server.available(self.now_ms)
        if server.running >= server.slots or not up:
            if server.sheds or not up:
                self._later(SHED_MS, self._finish, key, BackendOutcome.SHED)
            else:
                server.backlog.append(key)
            return
        server.running += 1
        mean_ms = server.mean_ms * server.slowness(self.now_ms)
        time_ms = mean_ms * (0.5 + self.rng.expovariate(2.0))
        self._later(time_ms, self._served, key, server)

    def _served(self, key: int, server: FakeServer) -> None:
        call = self._calls[key]
        call.self_time_ms = self.now_ms - call.started_at_ms
        if server.onward is None:
            self._release(key)
        else:
            child = FakeCall(
                stream=call.stream,
                rank=call.rank,
                offered_at_ms=call.offered_at_ms,
                repeats_left=0,
                first=False,
                parent=key,
                host=server.onward,
            )
            self._offer_to(child)

    def _release(self, key: int) -> None:
        server = self._calls[key].host.server
        server.running -= 1
        if server.backlog:
            self._serve(server.backlog.popleft(), server)
        self._finish(key, BackendOutcome.OK)

    def _finish(self, key: int, outcome: BackendOutcome) -> None:
        call = self._calls.pop(key)
        decision = call.host.gate.finished(
            key=key,
            self_time_ms=call.self_time_ms or SHED_MS,
            outcome=outcome,
            now_ms=self.now_ms,
        )
        self._carry_out(decision)
        self._tell(call, refused=outcome is not BackendOutcome.OK)
        self._end(call, outcome, 0)

    def _tell(self, call: FakeCall, *, refused: bool) -> None:
        load = call.host.gate.load(self.now_ms)
        thresholds = [rank for rank in (load.threshold, call.threshold) if rank]
        threshold = min(thresholds, default=None)
        if call.parent is not None:
            self._calls[call.parent].threshold = threshold
            return
        delay_ms = WAY_MS + call.host.way_ms
        self._later(delay_ms, self._told, call, load, threshold, refused)

    def _told(
        self, call: FakeCall, load: Load, threshold: Rank | None, refused: bool
    ) -> None:
        if self.shedder is not None:
            met = () if threshold is None else (ServiceThreshold("server", threshold),)
            operation = call.stream.operation
            self.shedder.learn(operation, met, self.now_ms, whole=not refused)
        if call.router is not None:
            latency_ms = None if refused else self.now_ms - call.offered_at_ms
            call.router.answered(call.host.view.name, latency_ms, load, self.now_ms)

    def _end(self, call: FakeCall, outcome, retry_after_ms: float) -> None:
        if call.parent is not None:
            self._calls[call.parent].failed = outcome is not BackendOutcome.OK
            self._release(call.parent)
            return
        self.done.append(Done(call=call, at_ms=self.now_ms, outcome=outcome))
        refused = outcome is not BackendOutcome.OK or call.failed
        if refused and call.repeats_left:
            wait_ms = retry_after_ms if call.stream.obeys else 20.0
            self._later(wait_ms, self._call, call.stream, call.repeats_left - 1)

    def _tick(self) -> None:
        onward = (host.server.onward for host in self.hosts.values())
        for host in [*self.hosts.values(), *filter(None, onward)]:
            self._carry_out(host.gate.tick(self.now_ms))
            self.loads.append((self.now_ms, host.gate.load(self.now_ms)))
        self._later(TICK_MS, self._tick)
