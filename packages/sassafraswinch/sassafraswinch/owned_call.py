"""Owned calls: the owner's state of a call, from first dispatch to final answer."""

from dataclasses import dataclass

from sassafraswinch.messages import Answer, Call, Headers, NodeId, Rank
from sassafraswinch.retry import RetryAllowance

DETACHED_WAIT_MS = 600_000.0
"""Time after its deadline for which the outcome of a non-repeatable call is awaited."""


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One dispatch of an owned call to one host."""

    number: int
    peer: NodeId
    granted_retries: int
    sent_at_ms: float


@dataclass(slots=True, kw_only=True)
class OwnedCall:
    """A call that only this node may dispatch or retry."""

    service: str
    operation: str
    repeatable: bool
    rank: Rank
    root_id: str
    depth: int
    progress: int
    deadline_at_ms: float
    begun_at_ms: float
    allowance: RetryAllowance
    method: str
    target: str
    headers: Headers
    body: bytes
    class_name: str = ""
    attempt: Attempt | None = None
    failed_hosts: frozenset[str] = frozenset()
    may_have_run: bool = False
    """An earlier attempt may have run, so the outcome can't be NOT_RUN any more."""
    abandoned: bool = False
    """The call has no waiters and is kept only until its outcome is known."""
    wait_until_ms: float | None = None
    """Time at which waiters get MAY_HAVE_RUN; None: the deadline of the call."""
    context: object = None
    """Opaque data of the caller of ``Owner``, for the end of the call."""

    @property
    def wait_ends_ms(self) -> float:
        """Time at which waiters get an outcome, even if it is unknown."""
        if self.wait_until_ms is None:
            return self.deadline_at_ms
        return self.wait_until_ms

    @property
    def detached_wait_ends_ms(self) -> float:
        """Time until which the outcome is awaited without waiters."""
        return self.deadline_at_ms + DETACHED_WAIT_MS

    def message(self, number: int, granted: int, now_ms: float) -> Call:
        """Return the message that one attempt sends."""
        return Call(
            number=number,
            root_id=self.root_id,
            service=self.service,
            operation=self.operation,
            rank=self.rank,
            repeatable=self.repeatable,
            remaining_ms=max(0, int(self.deadline_at_ms - now_ms)),
            allowance=granted,
            depth=self.depth,
            progress=self.progress,
            method=self.method,
            target=self.target,
            headers=self.headers,
            body=self.body,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Finished:
    """An owned call with its final answer."""

    owned: OwnedCall
    answer: Answer
    timed_out: bool = False
    """The answer is final for the waiters, but the call has no known outcome yet."""
