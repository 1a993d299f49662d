"""The link port as a node's own decisions see it: this host needs no link."""

from collections import deque
from dataclasses import dataclass

from sassafraswinch.messages import Message, NodeId
from sassafraswinch.ports import LinkPort

LOCAL_SESSION = 0
"""Session of the calls that a node sends to itself."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LocalMessage:
    """A message of this node to itself, waiting for the current step to end."""

    to_owner: bool
    message: Message


class LocalLinks:
    """The link port as owner and executor see it: this host needs no link."""

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
        """Answer another node, or this one."""
        if node.host != self.host:
            return self.links.reply(node, message)
        self.queue.append(LocalMessage(to_owner=True, message=message))
        return True

    def connect(self, host: str) -> None:
        """Dial another host."""
        if host != self.host:
            self.links.connect(host)

    def announce(self, message: Message) -> None:
        """Tell every other node."""
        self.links.announce(message)
