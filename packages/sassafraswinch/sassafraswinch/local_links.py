"""Link port of a node that queues messages to its own host instead of sending them."""

from collections import deque
from dataclasses import dataclass

from sassafraswinch.messages import Message, NodeId
from sassafraswinch.ports import LinkPort

LOCAL_SESSION = 0
"""Session number of calls that a node sends to itself."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LocalMessage:
    """A message of this node to itself, queued until the current step ends."""

    to_owner: bool
    message: Message


class LocalLinks:
    """Link port of owner and executor; messages to this host are queued locally."""

    def __init__(self, *, host: str, links: LinkPort):
        self.host = host
        self.links = links
        self.queue: deque[LocalMessage] = deque()

    def send(self, host: str, message: Message) -> int | None:
        """Send to another host, or queue for this one."""
        if host != self.host:
            return self.links.send(host, message)
        self.queue.append(LocalMessage(to_owner=False, message=message))
        return LOCAL_SESSION

    def reply(self, node: NodeId, message: Message) -> bool:
        """Reply to another node, or queue the reply for this one."""
        if node.host != self.host:
            return self.links.reply(node, message)
        self.queue.append(LocalMessage(to_owner=True, message=message))
        return True

    def connect(self, host: str) -> None:
        """Open a link to another host; does nothing for this one."""
        if host != self.host:
            self.links.connect(host)

    def announce(self, message: Message) -> None:
        """Send a message to every linked node."""
        self.links.announce(message)
