"""What callers sent and servers ran, and the promises that must hold between them."""

import hashlib
import itertools
import math
from collections import defaultdict
from dataclasses import dataclass, field

from .organisations import OWN, first_runs_s, windows_over_limit

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""

DENIED_STATUS = 401
"""Status of a request whose key isn't known."""

VERSION_SLACK_S = 0.5
"""Time after an answer by a version in which requests that overtook it may still be
handled by an older one."""

DRAIN_CEILING_S = 8.0
"""Time after a server's leaving was published in which requests may still come: the
two seconds of the platform, and room for a busy machine."""

FATAL_TARGET = "/orders/fatal"
"""Target of the request that ends each server that runs it."""

FATAL_ENDS = 3
"""Servers that may end under it, and retries that may follow those in the long run."""

SPREAD_S = 3.0
"""Time after the last of these ends in which all hosts must know of them."""


@dataclass(slots=True, kw_only=True)
class Sent:
    """A caller's request, or a call of a backend server."""

    request_id: str
    host: str
    caller_service: str
    method: str
    target: str
    idempotent: bool
    version: int = 0
    """Version of the routes that its path tells about; 0 where any may serve it."""
    lifetime: int = 0
    """Starts of the host's process when it was sent."""
    sent_s: float
    status: int | None = None
    """None while there is no whole answer; 0 where the connection ended without."""
    done_s: float = 0.0
    organisation: str = ""
    """Whose key it carries; of a call, whose request made it. Empty for none."""
    fault: str = ""
    """What was wrong with its answer."""


@dataclass(slots=True, kw_only=True)
class Run:
    """A request that a server began to run."""

    request_id: str
    instance_id: str
    service: str
    method: str
    target: str
    caller_service: str
    started_s: float
    organisation: str = ""
    """What the server was told of it."""
    has_key: bool = False
    """Whether the key came with it."""
    drained_since_s: float | None
    """When the server's leaving was published, if it was."""


@dataclass(slots=True)
class Record:
    """All requests and runs of one play."""

    sent: dict[str, Sent] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    services_of: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    """Services to which any version of the routes sent a path prefix."""
    forgot_s: list[float] = field(default_factory=list)
    """When all processes were killed, so that nobody knew anything any more."""

    def broken_promises(self) -> list[str]:
        """Return a line for each promise that was broken."""
        runs_of = defaultdict(list)
        for run in self.runs:
            runs_of[run.request_id].append(run)
        return [
            *(line for run in self.runs for line in self._wrong_run(run)),
            *(
                line
                for sent in self.sent.values()
                for line in _wrong_answer(sent, runs_of[sent.request_id])
            ),
            *self._falling_versions(),
            *self._fatal_runs(),
            *windows_over_limit(first_runs_s(self.runs)),
        ]

    def _fatal_runs(self) -> list[str]:
        """Return where servers went on to end under a request that ended three."""
        fatal = [run for run in self.runs if run.target == FATAL_TARGET]
        lines = []
        for since_s, until_s in itertools.pairwise([0.0, *self.forgot_s, math.inf]):
            runs_s = sorted(
                r.started_s for r in fatal if since_s < r.started_s < until_s
            )
            known_s = [at + SPREAD_S for at in runs_s[FATAL_ENDS - 1 : FATAL_ENDS]]
            late = [at for at in runs_s if known_s and at > known_s[0]]
            if len(late) > FATAL_ENDS:
                lines.append(f"went on ending servers: {len(runs_s)} runs, {late} late")
        return lines

    def _wrong_run(self, run: Run) -> list[str]:
        sent = self.sent.get(run.request_id)
        if sent is None:
            return [f"unasked: {run}"]
        lines = []
        if (run.method, run.target) != (sent.method, sent.target):
            lines.append(f"changed on the way: {sent} {run}")
        if run.caller_service != sent.caller_service:
            lines.append(f"wrong origin: {sent} {run}")
        if run.organisation != sent.organisation or not run.organisation:
            lines.append(f"wrong organisation: {sent} {run}")
        if run.has_key:
            lines.append(f"key passed on: {run}")
        if run.service not in self.services_of[prefix_of(run.target)]:
            lines.append(f"wrong service: {run}")
        leaving_s = run.drained_since_s
        if leaving_s is not None and run.started_s - leaving_s > DRAIN_CEILING_S:
            lines.append(f"sent to a server that leaves: {run}")
        return lines

    def _falling_versions(self) -> list[str]:
        """Return where a process took up an older version after a newer one."""
        seen: dict[tuple[str, int], list[Sent]] = defaultdict(list)
        for sent in self.sent.values():
            if sent.version and sent.status == 200:
                seen[sent.host, sent.lifetime].append(sent)
        return [
            f"version fell: {old} after {new}"
            for probes in seen.values()
            for new in probes
            for old in probes
            if old.version < new.version and old.sent_s > new.done_s + VERSION_SLACK_S
        ]


def prefix_of(target: str) -> str:
    """Return the route prefix of a target; the stand-ins' routes have one segment."""
    return f"/{target.split('/')[1]}/"


def body_of(request_id: str) -> bytes:
    """Return the body that a server answers to a request: up to some 20 KB."""
    digest = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return digest * (1 + digest[0] % 8 * 40)


def _wrong_answer(sent: Sent, runs: list[Run]) -> list[str]:
    lines = [f"{sent.fault}: {sent}"] if sent.fault else []
    if sent.status is None and sent.done_s:
        lines.append(f"no answer: {sent}")
    if not sent.idempotent and len(runs) > 1:
        lines.append(f"ran twice: {sent} {runs}")
    if not sent.idempotent and sent.status in NOT_RUN_STATUSES and runs:
        lines.append(f"ran though refused: {sent} {runs}")
    if sent.status == DENIED_STATUS and sent.organisation == OWN:
        lines.append(f"denied: {sent}")
    if sent.status == 200 and not runs:
        lines.append(f"answered without a run: {sent}")
    return lines
