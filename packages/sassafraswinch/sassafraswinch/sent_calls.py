"""Sent calls: an owner's records of the calls written to other nodes."""

from dataclasses import dataclass

from sassafraswinch.messages import Fence, FenceReply, FenceState, NodeId
from sassafraswinch.verdict import Verdict

MAX_SENT_CALLS = 16_384
"""Concurrent calls without an outcome: about 40 s of calls at 375 a second."""
MAX_FENCE_NUMBERS = 4096
"""Calls in one fence message: 32 KiB on the wire."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SentCall:
    """The node and the link session that a call was written to."""

    peer: NodeId
    session: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Recovery:
    """Fences and lost calls that follow from a new link to a host."""

    fences: tuple[Fence, ...]
    """To be sent on the new link, before any call."""
    lost: tuple[int, ...]
    """Calls written to a previous incarnation of the node: MAY_HAVE_RUN for good."""


class SentCalls:
    """Calls without an outcome, by number; a retry takes a new number."""

    def __init__(self, *, max_calls: int = MAX_SENT_CALLS):
        self._max_calls = max_calls
        self._calls: dict[int, SentCall] = {}
        self._numbers: dict[str, set[int]] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, number: int, *, peer: NodeId, session: int) -> bool:
        """Record a call before its first byte is written.

        Returns:
            False if there is no room; the call must not be written then.
        """
        if len(self._calls) >= self._max_calls:
            return False
        self._calls[number] = SentCall(peer=peer, session=session)
        self._numbers.setdefault(peer.host, set()).add(number)
        return True

    def settle(self, number: int) -> None:
        """Remove a call that has an outcome, or was provably not written."""
        call = self._calls.pop(number, None)
        if call is None:
            return
        numbers = self._numbers[call.peer.host]
        numbers.discard(number)
        if not numbers:
            del self._numbers[call.peer.host]

    def is_open(self, number: int, peer: NodeId) -> bool:
        """Return whether the call was sent to this peer and has no outcome yet."""
        call = self._calls.get(number)
        return call is not None and call.peer == peer

    def link_up(self, peer: NodeId, session: int) -> Recovery:
        """Fence the calls that were written to the host on earlier links.

        A restarted executing node has lost its records and would answer "never started"
        for a call that its previous incarnation did start. So no fence is sent for it.
        """
        earlier = [
            number
            for number in sorted(self._numbers.get(peer.host, ()))
            if self._calls[number].session < session
        ]
        lost = tuple(n for n in earlier if self._calls[n].peer != peer)
        fenced = [n for n in earlier if self._calls[n].peer == peer]
        for number in lost:
            self.settle(number)
        fences = tuple(
            Fence(
                floor_session=session,
                numbers=tuple(fenced[first : first + MAX_FENCE_NUMBERS]),
            )
            for first in range(0, len(fenced), MAX_FENCE_NUMBERS)
        )
        return Recovery(fences=fences, lost=lost)

    def settle_fenced(self, peer: NodeId, reply: FenceReply) -> Verdict | None:
        """Settle a fenced call.

        Returns:
            NOT_RUN or MAY_HAVE_RUN; None if the call is running and its answer will
            come, or if it has an outcome already.
        """
        if not self.is_open(reply.number, peer):
            return None
        if reply.state is FenceState.RUNNING:
            return None
        self.settle(reply.number)
        if reply.state is FenceState.NEVER_STARTED:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN
