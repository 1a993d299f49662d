"""Turns callers' requests into relays: route, rank, time limit and parent."""

import random
from dataclasses import dataclass, field

from sassafraswinch.organisations import Organisation, parse_bearer_key
from sassafraswinch.ranks import rank_of
from sassafraswinch_sidecar.executor import Execution, Executor
from sassafraswinch_sidecar.fleet import Fleet
from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.http_fields import NOT_FORWARDED, serialize_end_to_end
from sassafraswinch_sidecar.http_server import CallerConnection, HttpRequest
from sassafraswinch_sidecar.ingress_admission import LEVELS
from sassafraswinch_sidecar.instances import InstanceIdentity
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayResponse
from sassafraswinch_sidecar.routes import Route, RouteTable, WeightedRoundRobin

AUTHORIZATION = b"authorization"

LEAVING = "leaving"
NO_ROUTES = "no-routes"
NO_ROUTE = "no-route"
UNKNOWN_KEY = "unknown-key"
KEY_CHANGED = "key-changed"
"""Its key was removed, or moved, while it waited; it hasn't run."""
UNKNOWN_PARENT = "unknown-parent"
"""A call of a request that doesn't run here any more, or whose sidecar restarted."""


@dataclass(slots=True, eq=False)
class Relay:
    """A request that this sidecar owns.

    Attributes:
        http: the request as it arrived.
        connection: where its answer goes.
        route: the route that it takes.
        service: the route's service that runs it.
        request_id: the caller's id of it.
        headers: header lines that are passed on, once it is let in.
        deadline_ms: loop time at which its caller or its route stops waiting.
        priority: rank of its root request, which its organisation's priority decides
            before that of its route.
        level: place of its root request within the priority.
        parent: the execution whose backend server made it; None for a root request.
        is_retry: whether it, or a request above it, was sent before.
        caller: organisation whose key it carries; None for a call, and where it needs
            no key.
        organisation: name of the organisation that sent its root request, or "".
        has_token: whether it counts towards its organisation's rate.
        table_version: version of the routes and keys that it was let in by.
        progress: calls that the requests above it have finished, itself included as
            one: 0 for a root request.
        call_id: number of the call under way.
        ip: host that the call was sent to.
        instance_id: instance that the call was sent to.
        tried: lifetimes of servers that were asked.
        identity: lifetime of the server that the call was sent to.
        offers: times that it was written to a backend server.
        offered_to: lifetimes of the servers that it was written to.
        placements: sidecars that were asked to run it.
        may_have_run: whether an offer ended without a proof.
        repeats_spent: whether it, or a call below it, failed and wasn't repeated since
            too much is repeated.
        retry_after_ms: wait that a refused caller is told; None for the usual one.
        last_error_response: a failure that a backend server answered, while it is repeated.
        ended: whether the caller has its answer, or left.
        slot_ms: slot time that it and the calls below it took, by service.
    """

    http: HttpRequest
    connection: CallerConnection
    route: Route
    service: str
    request_id: str
    deadline_ms: float
    priority: int
    level: int
    parent: Execution | None
    is_retry: bool
    progress: int
    headers: bytes = b""
    caller: Organisation | None = None
    organisation: str = ""
    has_token: bool = False
    table_version: int = 0
    call_id: int = 0
    ip: str = ""
    instance_id: str = ""
    tried: set[InstanceIdentity] = field(default_factory=set)
    identity: InstanceIdentity = ("", 0)
    offers: int = 0
    offered_to: set[InstanceIdentity] = field(default_factory=set)
    placements: int = 0
    may_have_run: bool = False
    repeats_spent: bool = False
    retry_after_ms: float | None = None
    last_error_response: RelayResponse | None = None
    ended: bool = False
    slot_ms: dict[str, float] = field(default_factory=dict)

    @property
    def admission_class(self) -> str:
        """What entries admit root requests by: the route, and its caller's priority."""
        if self.caller is None or self.caller.priority is None:
            return self.route.name
        return f"{self.route.name}/{self.caller.priority}"

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
class IntakeRefusal:
    """A request that takes no route, or may not.

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
        self._own_names = NOT_FORWARDED | {
            self._time_left_name,
            names.expected_instance.lower(),
            names.caller_service.lower(),
        }
        self._own_and_identity_names = self._own_names | {
            AUTHORIZATION,
            names.organisation.lower(),
        }
        self._organisation_name = names.organisation
        self._fleet = fleet
        self._executor = executor
        self._rng = rng
        self._shares = WeightedRoundRobin()

    def accept_request(
        self, http: HttpRequest, connection: CallerConnection, *, closed: bool
    ) -> Relay | IntakeRefusal:
        """Return the relay of a request, or why there is none.

        Args:
            http: the request.
            connection: where its answer goes.
            closed: whether this sidecar takes no requests any more.
        """
        host, request_id, left_ms, credentials = self._read(http)
        table = self._fleet.table
        if table is None:
            return IntakeRefusal(request_id, host, NO_ROUTES, None)
        if closed:
            return IntakeRefusal(request_id, host, LEAVING, table.version)
        route = table.find(host, http.target.decode("latin-1"))
        if route is None:
            return IntakeRefusal(request_id, host, NO_ROUTE, table.version)
        parent = self._executor.running.get(request_id.rpartition(".")[0])
        caller = None if parent else _caller(credentials, table)
        if parent is None and caller is None and not _is_open(route, table):
            reason = _identity_fault(credentials, request_id)
            return IntakeRefusal(request_id, host, reason, table.version)
        waits_ms = route.timeout_ms if left_ms is None else left_ms
        deadline_ms = http.arrived_ms + min(waits_ms, route.timeout_ms)
        if parent is not None:
            deadline_ms = min(deadline_ms, parent.deadline_ms)
        organisation = _organisation_name(caller, parent)
        return Relay(
            http=http,
            connection=connection,
            route=route,
            service=self._shares.choose(route),
            request_id=request_id,
            deadline_ms=deadline_ms,
            priority=parent.request.priority if parent else _rank(caller, route),
            level=parent.request.level if parent else self._rng.randrange(LEVELS),
            parent=parent,
            is_retry=parent is not None and parent.request.repeated,
            progress=_progress(parent),
            caller=caller,
            organisation=organisation,
            table_version=table.version,
        )

    def is_key_still_valid(self, relay: Relay) -> bool:
        """Return whether a request's key still belongs to its organisation."""
        table = self._fleet.table
        if relay.caller is None or table.version == relay.table_version:
            return True
        *_, credentials = self._read(relay.http)
        caller = _caller(credentials, table)
        return caller is not None and caller.name == relay.organisation

    def add_headers(self, relay: Relay) -> None:
        """Write the header lines that a request is sent on with."""
        if self._fleet.table.organisations is None:
            lines = serialize_end_to_end(relay.http.fields, self._own_names)
        else:
            lines = serialize_end_to_end(
                relay.http.fields, self._own_and_identity_names
            )
        lines += self._caller_line
        if relay.organisation:
            name, value = self._organisation_name, relay.organisation.encode()
            lines += b"%b: %b\r\n" % (name, value)
        relay.headers = lines

    def _read(self, http: HttpRequest) -> tuple[str, str, float | None, list[bytes]]:
        """Return host, request id, time left and credentials of a request."""
        host = request_id = ""
        left_ms: float | None = None
        credentials: list[bytes] = []
        for lowered, _, value in http.fields:
            if lowered == b"host":
                host = value.decode("latin-1")
            elif lowered == self._id_name:
                request_id = value.decode("latin-1")
            elif lowered == self._time_left_name:
                left_ms = float(value) if value.isdigit() else None
            elif lowered == AUTHORIZATION:
                credentials.append(value)
        return host, request_id, left_ms, credentials


def _caller(credentials: list[bytes], table: RouteTable) -> Organisation | None:
    """Return the organisation whose key a request carries."""
    if table.organisations is None:
        return None
    return table.organisations.find(parse_bearer_key(credentials))


def _is_open(route: Route, table: RouteTable) -> bool:
    """Return whether requests of a route need no key."""
    return route.public or table.organisations is None


def _identity_fault(credentials: list[bytes], request_id: str) -> str:
    """Return why a request isn't let in: calls of servers carry no key."""
    if "." in request_id and not credentials:
        return UNKNOWN_PARENT
    return UNKNOWN_KEY


def _organisation_name(caller: Organisation | None, parent: Execution | None) -> str:
    if parent is not None:
        return parent.request.organisation
    return caller.name if caller else ""


def _rank(caller: Organisation | None, route: Route) -> int:
    return rank_of(caller.priority if caller else None, route.priority)


def _progress(parent: Execution | None) -> int:
    if parent is None:
        return 0
    return parent.request.progress + parent.calls_done + 1
