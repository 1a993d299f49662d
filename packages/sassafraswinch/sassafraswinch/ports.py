"""The ports through which the decisions of a node act on the world.

A port must not call back into the node before it returns.
"""

from typing import Protocol

from sassafraswinch.messages import Call, Message, NodeId
from sassafraswinch.requests import CallKey, Outcome
from sassafraswinch.verdict import Reason, Verdict


class LinkPort(Protocol):
    """Messages to other nodes."""

    def send(self, host: str, message: Message) -> int | None:
        """Write ``message`` on the link that this node dialled to ``host``.

        Returns:
            The session it was written on; None proves that nothing was written.
        """

    def connect(self, host: str) -> None:
        """Dial ``host`` if no link to it is open, and keep the link for a while."""

    def announce(self, message: Message) -> None:
        """Write ``message`` on every open link, whoever dialled it."""

    def reply(self, node: NodeId, message: Message) -> bool:
        """Write ``message`` on the newest link that ``node`` dialled to this node.

        Returns:
            False if no such link is open.
        """


class BackendPort(Protocol):
    """Requests to the backend server of this host."""

    def dispatch(self, key: CallKey, call: Call, traceparent: str) -> None:
        """Start ``call``; the adapter reports its end with ``backend_done``."""

    def cancel(self, key: CallKey) -> None:
        """Close the connection of a started call; its end is reported as well."""


class CallerPort(Protocol):
    """Answers to callers and to the local backend server's own calls."""

    def respond(self, handle: int, outcome: Outcome) -> None:
        """Give the request ``handle`` its final outcome; happens once."""


class Recorder(Protocol):
    """Takes note of how requests of callers ended, for the burn report."""

    def record(
        self,
        *,
        class_name: str,
        operation: str,
        verdict: Verdict,
        reason: Reason | None,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Note the outcome of one request."""
