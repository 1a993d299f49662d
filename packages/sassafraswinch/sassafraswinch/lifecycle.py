"""States of a node from start to stop."""

import enum

from transitions import Machine

LEAVE_NOTICE_MS = 3_000
"""Time that a leaving node still answers, to refuse with a proof what peers and
callers send before they know."""


class NodeState(enum.Enum):
    """What a node does at present."""

    STARTING = "starting"
    """Listeners aren't open yet."""

    SYNCING = "syncing"
    """Peers are asked for the newest document; new calls are refused."""

    SERVING = "serving"
    """New calls are taken."""

    LEAVING = "leaving"
    """New calls are refused; those in flight, and calls they make, go on."""

    STOPPED = "stopped"
    """Nothing is in flight; the process may end."""


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
    """State of one node; a trigger that its state doesn't know is ignored.

    Leaving can't be undone: peers were told so for this incarnation.

    Args:
        leave_notice_ms: least time between leaving and the stop.

    Triggers:
        listening: the listeners are open.
        synced(): the keeper serves a document.
        woke(): the process was paused; ask the peers again.
        leave(now_ms): a planned stop begins.
        cut(): end at once, whatever is in flight.
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
    def takes_calls(self) -> bool:
        """Whether new calls are taken; calls made by those in flight always are."""
        return self.state is NodeState.SERVING

    @property
    def leaving(self) -> bool:
        """Whether to tell peers that this host leaves."""
        return self.state in (NodeState.LEAVING, NodeState.STOPPED)

    def tick(self, now_ms: float, *, in_flight: int) -> None:
        """Stop a leaving node once its notice is over and nothing is in flight.

        Args:
            now_ms: monotonic milliseconds.
            in_flight: calls owned or executed here, and answers not yet written.
        """
        if in_flight == 0 and now_ms >= self._notice_ends_ms:
            self.drained()

    def _start_notice(self, now_ms: float) -> None:
        self._notice_ends_ms = now_ms + self._leave_notice_ms
