"""What an executing node remembers about the calls it received from their owners."""

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
"""Owner incarnations with a state: 560 nodes, and those that restart in a loop."""
FORGET_OWNER_MS = 1_800_000
"""An owner without calls may be forgotten after such a silence, if its room is needed.
Its links have been closed as silent long before, so none of its frames is left."""
MAX_LIVE_CALLS = 16_384
"""Calls that are queued, running, or whose answer isn't acknowledged."""
MAX_DROPPED_CALLS = 8192
"""Calls whose number is still known after their record went: 22 s at 375 a second."""


class CallState(enum.Enum):
    """How far a received call has come."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(slots=True, kw_only=True)
class CallRecord:
    """One received call whose owner may still ask for it."""

    session: int
    state: CallState = CallState.QUEUED
    left_behind: FenceState = FenceState.UNKNOWN
    """What a fence learns once this record is gone."""


@dataclass(slots=True, kw_only=True)
class OwnerState:
    """Everything remembered about one owner incarnation."""

    seen_at_ms: float
    floor_session: float = 0
    """Calls that arrive on a lower session are dropped: they have been fenced."""
    forgotten_below: float = 0
    """Of lower numbers without a record nothing is known."""
    awaits_first_call: bool = False
    """The owner may be a forgotten one: only what it sends from now on is known."""
    records: dict[int, CallRecord] = field(default_factory=dict)
    dropped: dict[int, FenceState] = field(default_factory=dict)
    """What a fence learns about numbers whose record went."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Fenced:
    """The effect of a fence."""

    replies: tuple[FenceReply | Answer, ...]
    """One for each fenced number, in order, to be sent to the owner."""
    withdrawn: tuple[int, ...]
    """Queued calls that won't start: to be taken from the queue."""


class ExecutionLedger:
    """Records of received calls, by owner incarnation and number.

    Keyed by the incarnation, because a restarted owner counts from 1 again: by host
    alone its calls would look like duplicates, and it would get answers of the calls
    of its previous run.
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
        self._forgot_owners = False
        self._dropped: deque[tuple[NodeId, int]] = deque()
        self._live_calls = 0
        self._now_ms = 0.0

    @property
    def size(self) -> LedgerSize:
        """What the ledger holds: live and dropped calls, and answers."""
        return LedgerSize(
            records=self._live_calls + len(self._dropped),
            answer_bytes=self._answers.kept_bytes,
        )

    def tick(self, now_ms: float) -> None:
        """Note the time, at least once a minute."""
        self._now_ms = max(self._now_ms, now_ms)

    def receive(self, owner: NodeId, session: int, number: int) -> bool:
        """Record a call that arrived.

        Returns:
            True: the call is queued now. False: drop the frame; its session has been
            fenced, it is a duplicate, or the ledger is full.
        """
        state = self._owner(owner)
        if state is None or self._live_calls >= self._max_live_calls:
            return False
        if session < state.floor_session:
            return False
        if state.awaits_first_call:
            state.awaits_first_call = False
            state.forgotten_below = number
        if number < state.forgotten_below:
            return False
        if number in state.records or number in state.dropped:
            return False
        state.records[number] = CallRecord(session=session)
        self._live_calls += 1
        return True

    def start(self, owner: NodeId, number: int) -> bool:
        """Mark a call as started, right before its first byte is written.

        Returns:
            False: the call must not start; it was fenced, or has started before.
        """
        record = self._record(owner, number)
        if record is None or record.state is not CallState.QUEUED:
            return False
        record.state = CallState.RUNNING
        return True

    def finish(self, owner: NodeId, number: int, answer: Answer) -> None:
        """Keep the outcome of a call until the owner acknowledges it.

        No effect on a call whose record went, by a fence or with its owner.

        Raises:
            InvariantError: the answer is of another call, or the call has one.
        """
        record = self._record(owner, number)
        if answer.number != number:
            raise InvariantError(
                invariant="answer-of-same-call",
                facts=f"call {number} of {owner} finished with that of {answer.number}",
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
            record.left_behind = FenceState.NEVER_STARTED
        for dropped_owner, dropped in self._answers.keep((owner, number), answer):
            self._drop(dropped_owner, dropped)

    def fence(self, owner: NodeId, fence: Fence) -> Fenced:
        """Give up the calls of an owner that lost a link.

        The frame of a fenced call may still sit in the silent link and arrive after
        this. Then it is dropped, since its session is below the floor: that is why
        "never started" holds for good, however late the frame is.
        """
        state = self._owner(owner)
        if state is None:
            unknown = FenceState.UNKNOWN
            replies = (FenceReply(number=n, state=unknown) for n in fence.numbers)
            return Fenced(replies=tuple(replies), withdrawn=())
        state.floor_session = max(state.floor_session, fence.floor_session)
        fenced = set(fence.numbers)
        withdrawn = tuple(
            number
            for number, record in state.records.items()
            if record.state is CallState.QUEUED
            and (number in fenced or record.session < state.floor_session)
        )
        for number in withdrawn:
            state.records[number].left_behind = FenceState.NEVER_STARTED
            self._drop(owner, number)
        return Fenced(
            replies=tuple(self._reply(owner, state, n) for n in fence.numbers),
            withdrawn=withdrawn,
        )

    def acknowledge(self, owner: NodeId, numbers: Iterable[int]) -> None:
        """Drop the answers that the owner holds."""
        for number in numbers:
            record = self._record(owner, number)
            if record is not None and record.state is CallState.FINISHED:
                self._answers.drop((owner, number))
                self._drop(owner, number)

    def forget_owner(self, owner: NodeId) -> tuple[int, ...]:
        """Drop the calls of an owner incarnation that is gone, and refuse it for good.

        One of its frames may still sit in an old link. Were the owner met as a new
        one, a call that it was told had never started could start.

        Returns:
            Its queued calls, to be taken from the queue.
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
        state.forgotten_below = math.inf
        return queued

    def _owner(self, owner: NodeId) -> OwnerState | None:
        """Return the state of an owner; None: there is no room for a new one."""
        state = self._owners.get(owner)
        if state is not None:
            self._owners.move_to_end(owner)
            state.seen_at_ms = self._now_ms
            return state
        if len(self._owners) >= self._max_owners and not self._forget_silent_owner():
            return None
        state = OwnerState(seen_at_ms=self._now_ms)
        if self._forgot_owners:
            # It may be one of them: nothing is known of its past.
            state.awaits_first_call = True
            state.forgotten_below = math.inf
        self._owners[owner] = state
        return state

    def _forget_silent_owner(self) -> bool:
        owner, state = next(iter(self._owners.items()))
        if state.records or self._now_ms - state.seen_at_ms < FORGET_OWNER_MS:
            return False
        del self._owners[owner]
        self._forgot_owners = True
        return True

    def _record(self, owner: NodeId, number: int) -> CallRecord | None:
        state = self._owners.get(owner)
        return None if state is None else state.records.get(number)

    def _reply(
        self, owner: NodeId, state: OwnerState, number: int
    ) -> FenceReply | Answer:
        record = state.records.get(number)
        if record is None:
            known = state.dropped.get(number)
            if known is None:
                forgotten = number < state.forgotten_below
                known = FenceState.UNKNOWN if forgotten else FenceState.NEVER_STARTED
            return FenceReply(number=number, state=known)
        if record.state is CallState.FINISHED:
            return self._answers.get((owner, number))
        return FenceReply(number=number, state=FenceState.RUNNING)

    def _drop(self, owner: NodeId, number: int) -> None:
        """Drop a record, but remember its number for as long as there is room.

        When that goes too, the floor of forgotten numbers rises above it: a late
        duplicate of its frame isn't taken for a new call, and a fence is answered
        "unknown" instead of "never started".
        """
        state = self._owners[owner]
        record = state.records.pop(number)
        self._live_calls -= 1
        state.dropped[number] = record.left_behind
        self._dropped.append((owner, number))
        while len(self._dropped) > self._max_dropped_calls:
            self._forget_number(*self._dropped.popleft())

    def _forget_number(self, owner: NodeId, number: int) -> None:
        state = self._owners.get(owner)
        if state is not None:
            state.dropped.pop(number, None)
            state.forgotten_below = max(state.forgotten_below, number + 1)
