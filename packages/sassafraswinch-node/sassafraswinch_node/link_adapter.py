"""Link port of a node, which joins the links it dialled and those it accepted."""

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from sassafraswinch.link_plan import LinkPlan
from sassafraswinch.membership import Membership
from sassafraswinch.messages import Heartbeat, Hello, Message, NodeId
from sassafraswinch_node.link import LinkRefusedError, LinkTraffic
from sassafraswinch_node.links import LinkPool, LinkServer
from sassafraswinch_node.settings import Address, parse_address


class LinkReceiver(Protocol):
    """Callbacks of the node for events of its links."""

    def link_up(self, hello: Hello, session: int, *, dialled: bool) -> None:
        """Handle a link to or from another node that has opened."""

    def link_message(
        self, node: NodeId, session: int, message: Message, *, dialled: bool
    ) -> None:
        """Handle a message of another node."""

    def link_lost(
        self, node: NodeId, session: int, *, dialled: bool, replaced: bool
    ) -> None:
        """Handle the loss of a link; ``replaced`` if another one took its place."""

    def link_proved(self, node: NodeId, sent_at_ms: float) -> None:
        """Handle the reply to a heartbeat that was sent at ``sent_at_ms``."""


class LinkAdapter:
    """Link port of a node, which owns its links and receives their events.

    Args:
        receiver: notified of links and messages.
        build_hello: returns the hello for a session number.
        build_heartbeat: returns the heartbeat for a sequence number.
        membership: host records, with the link address of each host.
        plan: chooses the hosts to keep links to.
        on_refused: called with the fault of each refused connection.
        traffic: byte counters of all links.
    """

    def __init__(
        self,
        *,
        receiver: LinkReceiver,
        build_hello: Callable[[int], Hello],
        build_heartbeat: Callable[[int], Heartbeat],
        membership: Membership,
        plan: LinkPlan,
        on_refused: Callable[[LinkRefusedError], None],
        traffic: LinkTraffic,
    ):
        self.receiver = receiver
        self.membership = membership
        self.plan = plan
        self._node_by_link: dict[tuple[str, int, bool], NodeId] = {}
        self._accepted_sessions: dict[NodeId, list[int]] = {}
        self._dialled_sessions: dict[str, int] = {}
        self.pool = LinkPool(
            build_hello=build_hello,
            find_address=self._find_address,
            events=self,
            build_heartbeat=build_heartbeat,
            on_refused=on_refused,
            on_heartbeat_reply=self._on_heartbeat_reply,
            traffic=traffic,
        )
        self.server = LinkServer(
            build_hello=build_hello,
            events=self,
            build_heartbeat=build_heartbeat,
            on_refused=on_refused,
            traffic=traffic,
        )

    async def start(self, listening: socket.socket) -> Address:
        """Accept links on a listening socket and return its address."""
        ip, port = await self.server.serve(listening)
        return Address(ip=ip, port=port)

    async def stop(self) -> None:
        """Write the queued messages, then close all links."""
        await self.pool.close()
        await self.server.close()

    def apply_plan(self) -> None:
        """Dial the hosts that the plan chooses now, and close links to all others."""
        now_ms = _now_ms()
        self.pool.set_hosts(self.plan.choose(self.membership.peers(now_ms), now_ms))

    def send(self, host: str, message: Message) -> int | None:
        """Send on the dialled link; None proves that nothing was written."""
        return self.pool.send(host, message)

    def connect(self, host: str) -> None:
        """Dial ``host`` and keep the link while the plan retains this demand."""
        self.plan.record_host_demand(host, _now_ms())
        self._schedule_plan()

    def record_service_demand(self, service: str) -> None:
        """Keep links to hosts of ``service`` while the plan retains this demand."""
        if self.plan.record_service_demand(service, _now_ms()):
            self._schedule_plan()

    def _schedule_plan(self) -> None:
        """Apply the plan after the node's current step.

        Failure: a new demand displaces an old one, whose link is closed, and the node
        is notified of the lost link during a step that still uses it.
        """
        asyncio.get_running_loop().call_soon(self.apply_plan)

    def announce(self, message: Message) -> None:
        """Send a message on every open link."""
        for host in self._dialled_sessions:
            self.pool.send(host, message)
        for node in self._accepted_sessions:
            self.reply(node, message)

    def reply(self, node: NodeId, message: Message) -> bool:
        """Send on the newest link that ``node`` dialled; False if not queued."""
        sessions = self._accepted_sessions.get(node)
        return bool(sessions) and self.server.send(node, max(sessions), message)

    def link_up(self, host: str, hello: Hello, session: int, dialled: bool) -> None:
        """Record a link, then notify the node."""
        self._node_by_link[host, session, dialled] = hello.node
        if dialled:
            self._dialled_sessions[host] = session
        else:
            self._accepted_sessions.setdefault(hello.node, []).append(session)
        self.receiver.link_up(hello, session, dialled=dialled)

    def link_message(
        self, host: str, session: int, message: Message, dialled: bool
    ) -> None:
        """Pass a message of a known link to the node."""
        node = self._node_by_link.get((host, session, dialled))
        if node is not None:
            self.receiver.link_message(node, session, message, dialled=dialled)

    def link_lost(self, host: str, session: int, dialled: bool) -> None:
        """Remove a link, then notify the node."""
        node = self._node_by_link.pop((host, session, dialled))
        replaced = False
        if dialled:
            replaced = self._dialled_sessions.get(host) != session
            if not replaced:
                del self._dialled_sessions[host]
        else:
            sessions = self._accepted_sessions[node]
            sessions.remove(session)
            replaced = bool(sessions)
            if not sessions:
                del self._accepted_sessions[node]
        self.receiver.link_lost(node, session, dialled=dialled, replaced=replaced)

    def _on_heartbeat_reply(self, host: str, session: int, sent_at_ms: float) -> None:
        node = self._node_by_link.get((host, session, True))
        if node is not None:
            self.receiver.link_proved(node, sent_at_ms)

    def _find_address(self, host: str) -> tuple[str, int] | None:
        record = self.membership.host_record(host)
        if record is None:
            return None
        address = parse_address(record.link)
        return address.ip, address.port


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000
