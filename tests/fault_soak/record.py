"""Record of the requests sent and run in a soak, and the invariants checked on it."""

import hashlib
import itertools
import math
from collections import defaultdict
from dataclasses import dataclass, field

from .notices import NoticeRecord
from .organisations import OWN, find_rate_limit_violations, first_starts_s
from .shapes import Shape, pattern

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses which guarantee that a request has not run and never will."""

DENIED_STATUS = 401
"""Status of a request whose API key is unknown."""

VERSION_SLACK_S = 0.5
"""Time after a response by one route version in which concurrent requests may still be
handled by an older version."""

MAX_DRAIN_S = 8.0
"""Time after a server was published as draining in which requests may still arrive: the
two seconds that the platform allows, and a margin for a busy host."""

FATAL_TARGET = "/orders/fatal"
"""Target of the request that crashes each server that runs it."""

MAX_FATAL_CRASHES = 3
"""Largest number of server crashes before the request must be held back, and of retries
that may run after all hosts must have received the reports of these crashes."""

SPREAD_S = 3.0
"""Time after the last of these crashes by which all hosts must have received the
reports."""


@dataclass(slots=True, kw_only=True)
class SoakRequest:
    """Record of a caller's request or of a backend server's child call.

    Attributes:
        request_id: id of the request.
        host: name of the host where it was sent.
        caller_service: service of that host.
        method: HTTP method.
        target: path of the request.
        idempotent: whether its route is idempotent.
        version: version of the routes that its path belongs to; 0 if it is in all.
        process_starts: number of starts of the host's process when it was sent.
        sent_s: time when it was sent.
        status: status of the response; None without a complete response, 0 if the
            connection was closed instead.
        done_s: time when the response arrived or the request failed; 0 until then.
        organisation: organisation that holds the request's key, or the parent
            request's key for a child call; empty if there is none.
        fault: description of an invalid response, or empty.
        has_new_connection: whether a connection was opened for it.
        is_written: whether it was sent whole on an established connection.
        shape: its lengths and times; None for those of most soaks.
    """

    request_id: str
    host: str
    caller_service: str
    method: str
    target: str
    idempotent: bool
    version: int = 0
    process_starts: int = 0
    sent_s: float
    status: int | None = None
    done_s: float = 0.0
    organisation: str = ""
    fault: str = ""
    has_new_connection: bool = False
    is_written: bool = False
    shape: Shape | None = None

    @property
    def is_cut(self) -> bool:
        """Whether its connection ended without a response after it was sent whole."""
        return self.is_written and self.status == 0


@dataclass(slots=True, kw_only=True)
class Run:
    """Record of a request that a backend server started to run.

    Attributes:
        request_id: id of the request.
        instance_id: instance that ran it.
        service: service of the instance.
        method: HTTP method as received.
        target: path as received.
        caller_service: service of the caller as received.
        started_s: time of the start.
        organisation: organisation as received.
        has_key: whether the server received an API key.
        drained_since_s: time when the server was published as draining, or None.
        has_whole_body: whether the body is the one that was sent.
    """

    request_id: str
    instance_id: str
    service: str
    method: str
    target: str
    caller_service: str
    started_s: float
    organisation: str = ""
    has_key: bool = False
    drained_since_s: float | None
    has_whole_body: bool = True


@dataclass(slots=True)
class Record:
    """All requests and runs of one soak run.

    Attributes:
        sent: requests by id.
        runs: runs in the order of their starts.
        services_of: services that any version of the routes assigned to a path prefix.
        all_killed_s: times when all processes were killed, which discards all state.
        notices: limits and leave notices of the servers.
    """

    sent: dict[str, SoakRequest] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    services_of: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    all_killed_s: list[float] = field(default_factory=list)
    notices: NoticeRecord = field(default_factory=NoticeRecord)

    def find_invariant_violations(self) -> list[str]:
        """Return a line for each violated invariant."""
        runs_by_request = defaultdict(list)
        for run in self.runs:
            runs_by_request[run.request_id].append(run)
        return [
            *(line for run in self.runs for line in self._check_run(run)),
            *(
                line
                for sent in self.sent.values()
                for line in _check_response(sent, runs_by_request[sent.request_id])
            ),
            *self._check_versions(),
            *self._check_fatal_runs(),
            *find_rate_limit_violations(first_starts_s(self.runs)),
            *self.notices.find_violations(
                {
                    sent.request_id: (sent.host, sent.sent_s)
                    for sent in self.sent.values()
                }
            ),
        ]

    def find_cut_requests(self) -> list[str]:
        """Return a line for each request on a new connection that got no response.

        A request on a kept connection may cross the end of that connection.
        """
        return [
            f"cut: {sent}"
            for sent in self.sent.values()
            if sent.is_cut and sent.has_new_connection
        ]

    def _check_fatal_runs(self) -> list[str]:
        """Return a line if a request continued to crash servers after three crashes."""
        fatal_runs = [run for run in self.runs if run.target == FATAL_TARGET]
        lines = []
        for since_s, until_s in itertools.pairwise([0.0, *self.all_killed_s, math.inf]):
            starts_s = sorted(
                fatal.started_s
                for fatal in fatal_runs
                if since_s < fatal.started_s < until_s
            )
            known_s = [
                start_s + SPREAD_S
                for start_s in starts_s[MAX_FATAL_CRASHES - 1 : MAX_FATAL_CRASHES]
            ]
            late_s = [
                start_s for start_s in starts_s if known_s and start_s > known_s[0]
            ]
            if len(late_s) > MAX_FATAL_CRASHES:
                lines.append(
                    f"continued to crash servers: {len(starts_s)} runs, {late_s} late"
                )
        return lines

    def _check_run(self, run: Run) -> list[str]:
        sent = self.sent.get(run.request_id)
        if sent is None:
            return [f"unasked: {run}"]
        lines = []
        if (run.method, run.target) != (sent.method, sent.target):
            lines.append(f"changed in transit: {sent} {run}")
        if not run.has_whole_body:
            lines.append(f"body changed in transit: {sent} {run}")
        if run.caller_service != sent.caller_service:
            lines.append(f"wrong caller service: {sent} {run}")
        if run.organisation != sent.organisation or not run.organisation:
            lines.append(f"wrong organisation: {sent} {run}")
        if run.has_key:
            lines.append(f"key forwarded to the server: {run}")
        if run.service not in self.services_of[prefix_of(run.target)]:
            lines.append(f"wrong service: {run}")
        drained_s = run.drained_since_s
        if drained_s is not None and run.started_s - drained_s > MAX_DRAIN_S:
            lines.append(f"sent to a draining server: {run}")
        return lines

    def _check_versions(self) -> list[str]:
        """Return a line for each return of a process to an older route version."""
        probes_by_process: dict[tuple[str, int], list[SoakRequest]] = defaultdict(list)
        for sent in self.sent.values():
            if sent.version and sent.status == 200:
                probes_by_process[sent.host, sent.process_starts].append(sent)
        return [
            f"older route version: {old} after {new}"
            for probes in probes_by_process.values()
            for new in probes
            for old in probes
            if old.version < new.version and old.sent_s > new.done_s + VERSION_SLACK_S
        ]


def prefix_of(target: str) -> str:
    """Return the route prefix of a target. The soak's routes have one path segment."""
    return f"/{target.split('/')[1]}/"


def body_of(request_id: str, shape: Shape | None = None) -> bytes:
    """Return the body of the response to a request: up to some 20 KB by default."""
    if shape is not None:
        return pattern(f"answer to {request_id}", shape.answer_bytes)
    digest = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return digest * (1 + digest[0] % 8 * 40)


def _check_response(sent: SoakRequest, runs: list[Run]) -> list[str]:
    lines = [f"{sent.fault}: {sent}"] if sent.fault else []
    if sent.status is None and sent.done_s:
        lines.append(f"no response: {sent}")
    if not sent.idempotent and len(runs) > 1:
        lines.append(f"ran twice: {sent} {runs}")
    if not sent.idempotent and sent.status in NOT_RUN_STATUSES and runs:
        lines.append(f"ran despite its refusal: {sent} {runs}")
    if sent.status == DENIED_STATUS and sent.organisation == OWN:
        lines.append(f"denied: {sent}")
    if sent.status == 200 and not runs:
        lines.append(f"success without a run: {sent}")
    return lines
