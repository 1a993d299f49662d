"""Life cycle of a node: its states from start to stop, and their transitions."""

import enum

from transitions import Machine

LEAVE_NOTICE_MS = 3_000
"""Least time for which a leaving node keeps answering, so that requests sent by peers
and callers before they know of it get a refusal that proves non-execution."""


class NodeState(enum.Enum):
    """State of a node."""

    STARTING = "starting"
    """The listeners are not open yet."""

    SYNCING = "syncing"
    """The newest document is requested from peers; new calls are refused."""

    SERVING = "serving"
    """New calls are accepted."""

    LEAVING = "leaving"
    """New calls are refused; calls in flight and their child calls go on."""

    STOPPED = "stopped"
    """Nothing is in flight; the process may exit."""


_TRANSITIONS = [
    {"trigger": "listening", "source": NodeState.STARTING, "dest": NodeState.SYNCING},
    {"trigger": "synced", "source": NodeState.SYNCING, "dest": NodeState.SERVING},
    {"trigger": "woke", "source": NodeState.SERVING, "dest": NodeState.SYNCING},
    {
        "trigger": "leave",
        "source": [NodeState.STARTING, NodeState.SYNCING, NodeState.SERVING],
        "dest": NodeState.LEAVING,
        "after": "_start_notice",
    },
    {"trigger": "drained", "source": NodeState.LEAVING, "dest": NodeState.STOPPED},
    {"trigger": "cut", "source": "*", "dest": NodeState.STOPPED},
]


class Lifecycle:
    """State machine of one node; a trigger that is invalid in its state is ignored.

    Leaving can't be undone: it was announced to peers for this incarnation.

    Args:
        leave_notice_ms: least time between the states LEAVING and STOPPED.

    Triggers:
        listening: the listeners are open.
        synced(): a document is available to serve on.
        woke(): the process was paused; synchronise with the peers again.
        leave(now_ms): a planned stop begins.
        cut(): stop at once, even with calls in flight.
    """

    def __init__(self, *, leave_notice_ms: float = LEAVE_NOTICE_MS):
        self._leave_notice_ms = leave_notice_ms
        self._notice_ends_ms = 0.0
        self._machine = Machine(
            model=self,
            states=NodeState,
            initial=NodeState.STARTING,
            transitions=_TRANSITIONS,
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )

    @property
    def accepts_calls(self) -> bool:
        """Whether new calls are accepted; child calls of those in flight always are."""
        return self.state is NodeState.SERVING

    @property
    def leaving(self) -> bool:
        """Whether to report this host as leaving to peers."""
        return self.state in (NodeState.LEAVING, NodeState.STOPPED)

    def tick(self, now_ms: float, *, in_flight: int) -> None:
        """Stop a leaving node after its notice period, once nothing is in flight.

        Args:
            now_ms: monotonic milliseconds.
            in_flight: calls owned or executed here, and answers not yet written.
        """
        if in_flight == 0 and now_ms >= self._notice_ends_ms:
            self.drained()

    def _start_notice(self, now_ms: float) -> None:
        self._notice_ends_ms = now_ms + self._leave_notice_ms
