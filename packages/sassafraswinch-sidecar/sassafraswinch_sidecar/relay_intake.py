"""Intake of callers' requests: finds route, priority, deadline, caller and parent."""

import math
from dataclasses import dataclass, field

from sassafraswinch.organisations import Organisation, parse_bearer_key
from sassafraswinch.ranks import rank_of
from sassafraswinch_sidecar.caller_connection import CallerConnection, HttpRequest
from sassafraswinch_sidecar.executor import Execution, Executor
from sassafraswinch_sidecar.fleet import Fleet
from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.http_fields import NOT_FORWARDED, serialize_end_to_end
from sassafraswinch_sidecar.instances import InstanceIdentity
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayResponse
from sassafraswinch_sidecar.routes import Route, RouteTable, WeightedRoundRobin

AUTHORIZATION = b"authorization"

LEAVING = "leaving"
NO_ROUTES = "no-routes"
NO_ROUTE = "no-route"
MISSING_ID = "missing-id"
UNKNOWN_KEY = "unknown-key"
KEY_CHANGED = "key-changed"
"""The API key was removed or reassigned while the request waited; it has not run."""
UNKNOWN_PARENT = "unknown-parent"
"""Child call of a request that no longer runs here, or whose sidecar has restarted."""


@dataclass(slots=True, eq=False)
class Relay:
    """A request that this sidecar owns and forwards to an instance of its service.

    Attributes:
        http: the request as received.
        connection: caller connection that gets the response.
        route: route that matched the request.
        service: service of the route that was chosen to run the request.
        request_id: request id set by the caller.
        headers: header lines to forward; set once the request is admitted.
        deadline_ms: event loop time at which the caller or the route times out.
        start_by_ms: event loop time after which it isn't started any more, because
            this sidecar stops.
        priority: priority of the root request; that of the organisation takes
            precedence over that of the route.
        level: admission level of the root request, drawn once its caller's rate limit
            has admitted it.
        parent: execution whose backend server made this call; None for a root request.
        is_retry: whether this request, or one of its ancestors, is a retry.
        caller: organisation whose key the request carries; None for a child call and
            for a request that needs no key.
        organisation: name of the organisation that sent the root request, or "".
        has_token: whether the request counts towards its organisation's rate limit.
        table_version: version of the routes and keys by which it was admitted.
        progress: number of calls that its ancestors have finished, plus 1 for this
            request; 0 for a root request.
        admission_class: class of a root request by which its cost is estimated and it
            is admitted; "" for a child call.
        call_id: number of the current attempt.
        ip: host that the current attempt was sent to.
        instance_id: instance that the current attempt was sent to.
        tried: identities of the instances that were requested to run it.
        identity: identity of the instance that the current attempt was sent to.
        offers: number of times it was written to a backend server.
        offered_to: identities of the instances whose server it was written to.
        placements: number of instances that were requested to run it.
        may_have_run: whether an attempt ended without a proof that it did not run.
        is_counted: whether the retry budget has counted its latest attempt.
        repeats_spent: whether this request, or one of its child calls, failed and was
            not retried because the retry budget was exhausted.
        retry_after_ms: Retry-After of a refusal; None for the default.
        last_error_response: error response of a backend server, kept during the retry.
        ended: whether the caller has got its response or has disconnected.
        slot_ms: slot time of this request and its child calls, by service.
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
    admission_class: str = ""
    start_by_ms: float = math.inf
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
    is_counted: bool = False
    repeats_spent: bool = False
    retry_after_ms: float | None = None
    last_error_response: RelayResponse | None = None
    ended: bool = False
    slot_ms: dict[str, float] = field(default_factory=dict)

    def begin_retry(self) -> None:
        """Mark the next attempt as a retry, which the retry budget counts once."""
        self.is_retry = True
        self.is_counted = False

    @property
    def method(self) -> str:
        """Method of the request (SentRequest)."""
        return self.http.method.decode("latin-1")

    @property
    def target(self) -> bytes:
        """Path and query of the request (SentRequest)."""
        return self.http.target

    @property
    def body(self) -> bytes:
        """Body of the request (SentRequest)."""
        return self.http.body


@dataclass(frozen=True, slots=True)
class IntakeRefusal:
    """A request refused at intake: no route, id or valid key, or sidecar not ready.

    Attributes:
        request_id: request id set by the caller.
        host: value of its ``Host`` field.
        reason: reason of the refusal, for logs and counters.
        version: version of the route table; None while there is none.
    """

    request_id: str
    host: str
    reason: str
    version: int | None


class RelayIntake:
    """Matches requests with the current routes and the executions on this host.

    A request is a child call only if the backend server of this host is running its
    parent now, so that an external caller can't gain priority by forging a request id.
    """

    def __init__(
        self,
        *,
        service: str,
        names: HeaderNames,
        fleet: Fleet,
        executor: Executor,
    ):
        self._caller_service_line = b"%b: %b\r\n" % (
            names.caller_service,
            service.encode(),
        )
        self._request_id_name = names.request_id.lower()
        self._time_left_name = names.time_left_ms.lower()
        self._removed_names = NOT_FORWARDED | {
            self._time_left_name,
            names.expected_instance.lower(),
            names.caller_service.lower(),
        }
        self._removed_and_identity_names = self._removed_names | {
            AUTHORIZATION,
            names.organisation.lower(),
        }
        self._organisation_name = names.organisation
        self._fleet = fleet
        self._executor = executor
        self._round_robin = WeightedRoundRobin()

    def accept_request(
        self,
        http: HttpRequest,
        connection: CallerConnection,
        *,
        only_child_calls: bool,
    ) -> Relay | IntakeRefusal:
        """Return the relay of a request, or the reason for refusing it.

        Args:
            http: the request.
            connection: caller connection that gets the response.
            only_child_calls: whether this sidecar refuses callers before it stops.
                Child calls of requests that still run here are accepted.
        """
        host, request_id, remaining_ms, credentials = self._read(http)
        table = self._fleet.table
        if table is None:
            return IntakeRefusal(request_id, host, NO_ROUTES, None)
        parent = self._find_parent(request_id)
        if only_child_calls and parent is None:
            return IntakeRefusal(request_id, host, LEAVING, table.version)
        route = table.find(host, http.target.decode("latin-1"))
        if route is None:
            return IntakeRefusal(request_id, host, NO_ROUTE, table.version)
        if not request_id:
            return IntakeRefusal(request_id, host, MISSING_ID, table.version)
        caller = None if parent else _caller(credentials, table)
        if parent is None and caller is None and not _is_open(route, table):
            reason = _refusal_reason(credentials, request_id)
            return IntakeRefusal(request_id, host, reason, table.version)
        wait_ms = route.timeout_ms if remaining_ms is None else remaining_ms
        deadline_ms = http.arrived_ms + min(wait_ms, route.timeout_ms)
        if parent is not None:
            deadline_ms = min(deadline_ms, parent.deadline_ms)
        organisation = _organisation_name(caller, parent)
        service = self._round_robin.choose(route)
        return Relay(
            http=http,
            connection=connection,
            route=route,
            service=service,
            request_id=request_id,
            deadline_ms=deadline_ms,
            priority=parent.request.priority
            if parent
            else _request_priority(caller, route),
            level=parent.request.level if parent else 0,
            parent=parent,
            is_retry=parent is not None and parent.request.repeated,
            progress=_progress(parent),
            admission_class="" if parent else admission_class(route, service, caller),
            caller=caller,
            organisation=organisation,
            table_version=table.version,
        )

    def _find_parent(self, request_id: str) -> Execution | None:
        """Return the execution that a request is a child call of, by its id."""
        parent_id, _, _ = request_id.rpartition(".")
        return self._executor.running.get(parent_id) if parent_id else None

    def is_key_still_valid(self, relay: Relay) -> bool:
        """Return whether the request's key still belongs to its organisation."""
        table = self._fleet.table
        if relay.caller is None or table.version == relay.table_version:
            return True
        *_, credentials = self._read(relay.http)
        caller = _caller(credentials, table)
        return caller is not None and caller.name == relay.organisation

    def add_headers(self, relay: Relay) -> None:
        """Set the header lines that are forwarded with a request.

        Its parsed fields are dropped but for its key, which is looked up again when the
        keys change. Failure: requests of many short lines wait for their server, and
        their fields take some fifty times the memory of the lines.
        """
        if self._fleet.table.organisations is None:
            lines = serialize_end_to_end(relay.http.fields, self._removed_names)
        else:
            lines = serialize_end_to_end(
                relay.http.fields, self._removed_and_identity_names
            )
        lines += self._caller_service_line
        if relay.organisation:
            name, value = self._organisation_name, relay.organisation.encode()
            lines += b"%b: %b\r\n" % (name, value)
        relay.headers = lines
        relay.http.drop_fields(kept=AUTHORIZATION)

    def _read(self, http: HttpRequest) -> tuple[str, str, float | None, list[bytes]]:
        """Return host, request id, remaining time and credentials of a request."""
        host = request_id = ""
        remaining_ms: float | None = None
        credentials: list[bytes] = []
        for lowered, _, value in http.fields:
            if lowered == b"host":
                host = value.decode("latin-1")
            elif lowered == self._request_id_name:
                request_id = value.decode("latin-1")
            elif lowered == self._time_left_name:
                remaining_ms = float(value) if value.isdigit() else None
            elif lowered == AUTHORIZATION:
                credentials.append(value)
        return host, request_id, remaining_ms, credentials


def _caller(credentials: list[bytes], table: RouteTable) -> Organisation | None:
    """Return the organisation whose key a request carries."""
    if table.organisations is None:
        return None
    return table.organisations.find(parse_bearer_key(credentials))


def _is_open(route: Route, table: RouteTable) -> bool:
    """Return whether requests of a route need no key."""
    return route.public or table.organisations is None


def _refusal_reason(credentials: list[bytes], request_id: str) -> str:
    """Return why a request without a valid key is refused.

    A child call carries no key, so it is recognised by its request id.
    """
    if "." in request_id and not credentials:
        return UNKNOWN_PARENT
    return UNKNOWN_KEY


def _organisation_name(caller: Organisation | None, parent: Execution | None) -> str:
    if parent is not None:
        return parent.request.organisation
    return caller.name if caller else ""


def admission_class(route: Route, service: str, caller: Organisation | None) -> str:
    """Return the admission class of a root request.

    It has the service as well as the route: an estimate that was measured at a service
    says nothing about the requests of the route once they go to another one.
    """
    if caller is None or caller.priority is None:
        return f"{route.name}/{service}"
    return f"{route.name}/{service}/{caller.priority}"


def _request_priority(caller: Organisation | None, route: Route) -> int:
    return rank_of(caller.priority if caller else None, route.priority)


def _progress(parent: Execution | None) -> int:
    if parent is None:
        return 0
    return parent.request.progress + parent.calls_done + 1
