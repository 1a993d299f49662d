"""Execution ledger: an executing node's records of the calls received from owners."""

import enum
import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from sassafraswinch.answer_store import AnswerStore, LedgerSize
from sassafraswinch.errors import InvariantError
from sassafraswinch.messages import Answer, Fence, FenceReply, FenceState, NodeId
from sassafraswinch.verdict import Verdict

MAX_OWNERS = 4096
"""Owner incarnations with a state: 560 nodes, and nodes that restart in a loop."""
IDLE_OWNER_EVICTION_MS = 1_800_000
"""Idle time after which an owner without calls may be evicted for a new owner. Its
links were closed as silent long before, so none of its frames is still in transit."""
MAX_LIVE_CALLS = 16_384
"""Calls that are queued or running, or whose answer isn't acknowledged yet."""
MAX_DROPPED_CALLS = 8192
"""Calls whose number is kept after their record is removed: 22 s at 375 a second."""


class CallState(enum.Enum):
    """Progress of a received call."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(slots=True, kw_only=True)
class CallRecord:
    """One received call whose owner may still request its state."""

    session: int
    state: CallState = CallState.QUEUED
    fence_state: FenceState = FenceState.UNKNOWN
    """State that a fence is answered with once this record is removed."""


@dataclass(slots=True, kw_only=True)
class OwnerState:
    """Call records of one owner incarnation."""

    seen_at_ms: float
    floor_session: float = 0
    """Calls that arrive on a lower session are dropped, as they have been fenced."""
    evicted_below: float = 0
    """The state of lower numbers without a record is unknown."""
    awaits_first_call: bool = False
    """The owner may have been evicted before: only calls from now on are known."""
    records: dict[int, CallRecord] = field(default_factory=dict)
    dropped: dict[int, FenceState] = field(default_factory=dict)
    """State that a fence is answered with, by number of a removed record."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceResult:
    """The effect of a fence."""

    replies: tuple[FenceReply | Answer, ...]
    """One for each fenced number, in order, to be sent to the owner."""
    withdrawn: tuple[int, ...]
    """Queued calls that won't start, to be removed from the queue."""


class ExecutionLedger:
    """Records of received calls, by owner incarnation and number.

    The key holds the incarnation because a restarted owner numbers its calls from 1
    again. By host alone its calls would look like duplicates, and it would get answers
    to calls of its previous incarnation.
    """

    def __init__(
        self,
        *,
        max_answer_bytes: int,
        max_owners: int = MAX_OWNERS,
        max_live_calls: int = MAX_LIVE_CALLS,
        max_dropped_calls: int = MAX_DROPPED_CALLS,
    ):
        self._max_owners = max_owners
        self._max_live_calls = max_live_calls
        self._max_dropped_calls = max_dropped_calls
        self._answers: AnswerStore[tuple[NodeId, int]] = AnswerStore(
            max_bytes=max_answer_bytes
        )
        self._owners: OrderedDict[NodeId, OwnerState] = OrderedDict()
        self._has_evicted_owners = False
        self._dropped: deque[tuple[NodeId, int]] = deque()
        self._live_calls = 0
        self._now_ms = 0.0

    @property
    def size(self) -> LedgerSize:
        """Number of live and removed calls, and bytes of answers."""
        return LedgerSize(
            records=self._live_calls + len(self._dropped),
            answer_bytes=self._answers.kept_bytes,
        )

    def tick(self, now_ms: float) -> None:
        """Set the current time; to be called at least once a minute."""
        self._now_ms = max(self._now_ms, now_ms)

    def receive(self, owner: NodeId, session: int, number: int) -> bool:
        """Record a call that arrived.

        Returns:
            True if the call is queued now. False if the frame must be dropped: its
            session has been fenced, it is a duplicate, or the ledger is full.
        """
        state = self._owner_state(owner)
        if state is None or self._live_calls >= self._max_live_calls:
            return False
        if session < state.floor_session:
            return False
        if state.awaits_first_call:
            state.awaits_first_call = False
            state.evicted_below = number
        if number < state.evicted_below:
            return False
        if number in state.records or number in state.dropped:
            return False
        state.records[number] = CallRecord(session=session)
        self._live_calls += 1
        return True

    def start(self, owner: NodeId, number: int) -> bool:
        """Mark a call as started, right before its first byte is written.

        Returns:
            False if the call must not start: it was fenced, or has started before.
        """
        record = self._find_record(owner, number)
        if record is None or record.state is not CallState.QUEUED:
            return False
        record.state = CallState.RUNNING
        return True

    def finish(self, owner: NodeId, number: int, answer: Answer) -> None:
        """Store the outcome of a call until the owner acknowledges it.

        Has no effect on a call whose record was removed, by a fence or with its owner.

        Raises:
            InvariantError: The answer belongs to another call, or the call already has
                an answer.
        """
        record = self._find_record(owner, number)
        if answer.number != number:
            raise InvariantError(
                invariant="answer-of-same-call",
                facts=f"call {number} of {owner} got the answer of {answer.number}",
            )
        if record is None:
            return
        if record.state is CallState.FINISHED:
            raise InvariantError(
                invariant="one-answer-per-call",
                facts=f"call {number} of {owner} finished twice",
            )
        record.state = CallState.FINISHED
        if answer.verdict is Verdict.NOT_RUN:
            record.fence_state = FenceState.NEVER_STARTED
        for dropped_owner, dropped in self._answers.keep((owner, number), answer):
            self._remove_record(dropped_owner, dropped)

    def fence(self, owner: NodeId, fence: Fence) -> FenceResult:
        """Fence the calls of an owner that lost a link.

        The frame of a fenced call may still be in transit on the silent link and arrive
        after this. It is then dropped, since its session is below the floor. So "never
        started" holds for good, however late the frame arrives.
        """
        state = self._owner_state(owner)
        if state is None:
            unknown = FenceState.UNKNOWN
            replies = (FenceReply(number=n, state=unknown) for n in fence.numbers)
            return FenceResult(replies=tuple(replies), withdrawn=())
        state.floor_session = max(state.floor_session, fence.floor_session)
        fenced = set(fence.numbers)
        withdrawn = tuple(
            number
            for number, record in state.records.items()
            if record.state is CallState.QUEUED
            and (number in fenced or record.session < state.floor_session)
        )
        for number in withdrawn:
            state.records[number].fence_state = FenceState.NEVER_STARTED
            self._remove_record(owner, number)
        return FenceResult(
            replies=tuple(self._fence_reply(owner, state, n) for n in fence.numbers),
            withdrawn=withdrawn,
        )

    def acknowledge(self, owner: NodeId, numbers: Iterable[int]) -> None:
        """Remove the answers that the owner has received."""
        for number in numbers:
            record = self._find_record(owner, number)
            if record is not None and record.state is CallState.FINISHED:
                self._answers.drop((owner, number))
                self._remove_record(owner, number)

    def retire_owner(self, owner: NodeId) -> tuple[int, ...]:
        """Remove the calls of an owner incarnation that is gone, and refuse later ones.

        One of its frames may still be in transit on an old link. If the owner were
        taken for a new one, a call reported to it as never started could start.

        Returns:
            Its queued calls, to be removed from the queue.
        """
        state = self._owners.get(owner)
        if state is None:
            return ()
        queued = tuple(
            number
            for number, record in state.records.items()
            if record.state is CallState.QUEUED
        )
        self._live_calls -= len(state.records)
        for number in state.records:
            self._answers.drop((owner, number))
        state.records.clear()
        state.dropped.clear()
        state.floor_session = math.inf
        state.evicted_below = math.inf
        return queued

    def _owner_state(self, owner: NodeId) -> OwnerState | None:
        """Return the state of an owner; None if there is no room for a new one."""
        state = self._owners.get(owner)
        if state is not None:
            self._owners.move_to_end(owner)
            state.seen_at_ms = self._now_ms
            return state
        if len(self._owners) >= self._max_owners and not self._evict_idle_owner():
            return None
        state = OwnerState(seen_at_ms=self._now_ms)
        if self._has_evicted_owners:
            # It may be an evicted owner, whose earlier calls are unknown.
            state.awaits_first_call = True
            state.evicted_below = math.inf
        self._owners[owner] = state
        return state

    def _evict_idle_owner(self) -> bool:
        owner, state = next(iter(self._owners.items()))
        if state.records or self._now_ms - state.seen_at_ms < IDLE_OWNER_EVICTION_MS:
            return False
        del self._owners[owner]
        self._has_evicted_owners = True
        return True

    def _find_record(self, owner: NodeId, number: int) -> CallRecord | None:
        state = self._owners.get(owner)
        return None if state is None else state.records.get(number)

    def _fence_reply(
        self, owner: NodeId, state: OwnerState, number: int
    ) -> FenceReply | Answer:
        record = state.records.get(number)
        if record is None:
            known = state.dropped.get(number)
            if known is None:
                is_evicted = number < state.evicted_below
                known = FenceState.UNKNOWN if is_evicted else FenceState.NEVER_STARTED
            return FenceReply(number=number, state=known)
        if record.state is CallState.FINISHED:
            return self._answers.get((owner, number))
        return FenceReply(number=number, state=FenceState.RUNNING)

    def _remove_record(self, owner: NodeId, number: int) -> None:
        """Remove a record, but keep its number for as long as there is room.

        When the number is evicted too, the floor of evicted numbers rises above it: a
        late duplicate of its frame isn't taken for a new call, and a fence is answered
        "unknown" instead of "never started".
        """
        state = self._owners[owner]
        record = state.records.pop(number)
        self._live_calls -= 1
        state.dropped[number] = record.fence_state
        self._dropped.append((owner, number))
        while len(self._dropped) > self._max_dropped_calls:
            self._evict_number(*self._dropped.popleft())

    def _evict_number(self, owner: NodeId, number: int) -> None:
        state = self._owners.get(owner)
        if state is not None:
            state.dropped.pop(number, None)
            state.evicted_below = max(state.evicted_below, number + 1)
