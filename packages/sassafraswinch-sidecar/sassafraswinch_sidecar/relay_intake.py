"""Turns callers' requests into relays: route, rank, time limit and parent."""

import random
from dataclasses import dataclass, field

from sassafraswinch_sidecar.dialect import HeaderNames
from sassafraswinch_sidecar.entry_admission import LEVELS
from sassafraswinch_sidecar.executor import Execution, Executor
from sassafraswinch_sidecar.fleet import Fleet, InstanceIdentity
from sassafraswinch_sidecar.http_fields import DROPPED, serialize_end_to_end
from sassafraswinch_sidecar.http_server import CallerConnection, HttpRequest
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayResponse
from sassafraswinch_sidecar.routes import Route, ShareChooser


@dataclass(slots=True, eq=False)
class Relay:
    """A request that this sidecar owns.

    Attributes:
        http: the request as it arrived.
        connection: where its answer goes.
        route: the route that it takes.
        service: the route's service that runs it.
        request_id: the caller's id of it.
        headers: header lines that are passed on.
        deadline_ms: loop time at which its caller or its route stops waiting.
        priority: rank of its root request.
        level: place of its root request within the priority.
        parent: the execution whose backend server made it; None for a root request.
        repeated: whether it, or a request above it, was sent before.
        progress: calls that the requests above it have finished, itself included as
            one: 0 for a root request.
        call_id: number of the call under way.
        ip: host that the call was sent to.
        instance_id: instance that the call was sent to.
        tried: lifetimes of servers that were asked.
        identity: lifetime of the server that the call was sent to.
        offers: times that it was written to a backend server.
        offered_to: lifetimes of the servers that it was written to.
        places: sidecars that were asked to run it.
        may_have_run: whether an offer ended without a proof.
        repeats_spent: whether it, or a call below it, failed and wasn't repeated since
            too much is repeated.
        retry_after_ms: wait that a refused caller is told; None for the usual one.
        last_answer: a failure that a backend server answered, while it is repeated.
        ended: whether the caller has its answer, or left.
        slot_ms: slot time that it and the calls below it took, by service.
    """

    http: HttpRequest
    connection: CallerConnection
    route: Route
    service: str
    request_id: str
    headers: bytes
    deadline_ms: float
    priority: int
    level: int
    parent: Execution | None
    repeated: bool
    progress: int
    call_id: int = 0
    ip: str = ""
    instance_id: str = ""
    tried: set[InstanceIdentity] = field(default_factory=set)
    identity: InstanceIdentity = ("", 0)
    offers: int = 0
    offered_to: set[InstanceIdentity] = field(default_factory=set)
    places: int = 0
    may_have_run: bool = False
    repeats_spent: bool = False
    retry_after_ms: float | None = None
    last_answer: RelayResponse | None = None
    ended: bool = False
    slot_ms: dict[str, float] = field(default_factory=dict)

    @property
    def method(self) -> str:
        """Method of the request (SentRequest, as are the next two)."""
        return self.http.method.decode("latin-1")

    @property
    def target(self) -> bytes:
        """Path and query of the request."""
        return self.http.target

    @property
    def body(self) -> bytes:
        """Body of the request."""
        return self.http.body


@dataclass(frozen=True, slots=True)
class Unroutable:
    """A request that takes no route.

    Attributes:
        request_id: the caller's id of it.
        host: the host that it named.
        reason: why, as a word for logs and counters.
        version: version of the route table; None where none is known.
    """

    request_id: str
    host: str
    reason: str
    version: int | None


class RelayIntake:
    """Reads requests in the light of the routes in force and of what runs here.

    Nobody outside may gain rank by the form of an id: a request counts as a call of a
    running request only if the backend server of this host runs that one now.
    """

    def __init__(
        self,
        *,
        service: str,
        names: HeaderNames,
        fleet: Fleet,
        executor: Executor,
        rng: random.Random,
    ):
        self._caller_line = b"%b: %b\r\n" % (names.caller_service, service.encode())
        self._id_name = names.request_id.lower()
        self._time_left_name = names.time_left_ms.lower()
        self._own_names = DROPPED | {
            self._time_left_name,
            names.expected_instance.lower(),
            names.caller_service.lower(),
        }
        self._fleet = fleet
        self._executor = executor
        self._rng = rng
        self._shares = ShareChooser()

    def take(
        self, http: HttpRequest, connection: CallerConnection, *, closed: bool
    ) -> Relay | Unroutable:
        """Return the relay of a request, or why there is none.

        Args:
            http: the request.
            connection: where its answer goes.
            closed: whether this sidecar takes no requests any more.
        """
        host, request_id, left_ms = self._read(http)
        table = self._fleet.table
        if table is None:
            return Unroutable(request_id, host, "no-routes", None)
        if closed:
            return Unroutable(request_id, host, "leaving", table.version)
        route = table.find(host, http.target.decode("latin-1"))
        if route is None:
            return Unroutable(request_id, host, "no-route", table.version)
        waits_ms = route.timeout_ms if left_ms is None else left_ms
        deadline_ms = http.arrived_ms + min(waits_ms, route.timeout_ms)
        parent = self._executor.running.get(request_id.rpartition(".")[0])
        if parent is not None:
            deadline_ms = min(deadline_ms, parent.deadline_ms)
        return Relay(
            http=http,
            connection=connection,
            route=route,
            service=self._shares.choose(route),
            request_id=request_id,
            headers=self._header_lines(http),
            deadline_ms=deadline_ms,
            priority=parent.request.priority if parent else route.priority,
            level=parent.request.level if parent else self._rng.randrange(LEVELS),
            parent=parent,
            repeated=parent is not None and parent.request.repeated,
            progress=_progress(parent),
        )

    def _read(self, http: HttpRequest) -> tuple[str, str, float | None]:
        host = request_id = ""
        left_ms: float | None = None
        for lowered, _, value in http.fields:
            if lowered == b"host":
                host = value.decode("latin-1")
            elif lowered == self._id_name:
                request_id = value.decode("latin-1")
            elif lowered == self._time_left_name:
                left_ms = float(value) if value.isdigit() else None
        return host, request_id, left_ms

    def _header_lines(self, http: HttpRequest) -> bytes:
        return serialize_end_to_end(http.fields, self._own_names) + self._caller_line


def _progress(parent: Execution | None) -> int:
    if parent is None:
        return 0
    return parent.request.progress + parent.calls_done + 1
