"""A call as its owner keeps it, from the first dispatch to the final answer."""

from dataclasses import dataclass

from sassafraswinch.messages import Answer, Call, Headers, NodeId, Rank
from sassafraswinch.retry import RetryAllowance

DETACHED_LIFE_MS = 600_000.0
"""How long the outcome of a non-repeatable call is awaited after its deadline."""


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One dispatch of an owned call to one host."""

    number: int
    peer: NodeId
    handed: int
    sent_at_ms: float


@dataclass(slots=True, kw_only=True)
class OwnedCall:
    """A call that this node alone may dispatch or retry."""

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
    """An earlier attempt may have run, so NOT_RUN can't be claimed any more."""
    abandoned: bool = False
    """Nobody waits any more; kept only to learn what became of the call."""
    wait_until_ms: float | None = None
    """When to tell those that wait that its fate is open; None: at its deadline."""
    context: object = None
    """What the composing node needs when the call ends."""

    @property
    def wait_ends_ms(self) -> float:
        """When those that wait are told an outcome, known or not."""
        if self.wait_until_ms is None:
            return self.deadline_at_ms
        return self.wait_until_ms

    @property
    def detached_until_ms(self) -> float:
        """Until when its fate is of interest though nobody waits."""
        return self.deadline_at_ms + DETACHED_LIFE_MS

    def message(self, number: int, handed: int, now_ms: float) -> Call:
        """Return the call as one attempt sends it."""
        return Call(
            number=number,
            root_id=self.root_id,
            service=self.service,
            operation=self.operation,
            rank=self.rank,
            repeatable=self.repeatable,
            remaining_ms=max(0, int(self.deadline_at_ms - now_ms)),
            allowance=handed,
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
    given_up: bool = False
    """The answer is final for whoever waits, but the call's fate is still open."""
