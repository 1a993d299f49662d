"""Ports of a node: protocols for its links, backend server, callers and recorder.

A port must not call back into the node before it returns.
"""

from typing import Protocol

from sassafraswinch.messages import Call, Message, NodeId
from sassafraswinch.requests import CallKey, Outcome
from sassafraswinch.verdict import Reason, Verdict


class LinkPort(Protocol):
    """Sends messages to other nodes."""

    def send(self, host: str, message: Message) -> int | None:
        """Write ``message`` on the link that this node dialled to ``host``.

        Returns:
            The session that it was written on; None proves that nothing was written.
        """

    def connect(self, host: str) -> None:
        """Dial ``host`` if no link to it is open, and keep the link open for a time."""

    def announce(self, message: Message) -> None:
        """Write ``message`` on every open link, whichever side dialled it."""

    def reply(self, node: NodeId, message: Message) -> bool:
        """Write ``message`` on the newest link that ``node`` dialled to this node.

        Returns:
            False if no such link is open.
        """


class BackendPort(Protocol):
    """Sends requests to the backend server of this host."""

    def dispatch(self, key: CallKey, call: Call, traceparent: str) -> None:
        """Start ``call``; the adapter reports its end with ``backend_done``."""

    def cancel(self, key: CallKey) -> None:
        """Close the connection of a started call; its end is reported as well."""


class CallerPort(Protocol):
    """Sends outcomes to callers and to the local backend server."""

    def respond(self, handle: int, outcome: Outcome) -> None:
        """Send the final outcome of the request ``handle``; called once."""


class Recorder(Protocol):
    """Records the outcomes of callers' requests for the burn report."""

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
        """Record the outcome of one request."""
