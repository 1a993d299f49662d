"""The link port of a node, over the links it dialled and those it accepted."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from sassafraswinch.link_plan import LinkPlan
from sassafraswinch.membership import Membership
from sassafraswinch.messages import Heartbeat, Hello, Message, NodeId
from sassafraswinch_node.link import LinkRefusedError, LinkTraffic
from sassafraswinch_node.links import LinkPool, LinkServer
from sassafraswinch_node.settings import Address, parse_address


class LinkReceiver(Protocol):
    """The node, as links report to it."""

    def link_up(self, hello: Hello, session: int, *, dialled: bool) -> None:
        """A link to or from another node is open."""

    def link_message(
        self, node: NodeId, session: int, message: Message, *, dialled: bool
    ) -> None:
        """A message of another node."""

    def link_lost(
        self, node: NodeId, session: int, *, dialled: bool, replaced: bool
    ) -> None:
        """A link is gone."""

    def link_proved(self, node: NodeId, sent_at_ms: float) -> None:
        """A heartbeat sent at this time was answered."""


class LinkAdapter:
    """Owns the links of a node; both its port and the receiver of their events.

    Args:
        receiver: told of links and messages.
        hello: makes the greeting for a session number.
        heartbeat: makes the heartbeat of a sequence number.
        membership: knows the addresses of hosts.
        plan: says which hosts to keep links to.
        refused: told of connections that aren't taken as links.
        traffic: counts what is written.
    """

    def __init__(
        self,
        *,
        receiver: LinkReceiver,
        hello: Callable[[int], Hello],
        heartbeat: Callable[[int], Heartbeat],
        membership: Membership,
        plan: LinkPlan,
        refused: Callable[[LinkRefusedError], None],
        traffic: LinkTraffic,
    ):
        self.receiver = receiver
        self.membership = membership
        self.plan = plan
        self._nodes: dict[tuple[str, int, bool], NodeId] = {}
        self._accepted: dict[NodeId, list[int]] = {}
        self._dialled: dict[str, int] = {}
        self.pool = LinkPool(
            hello=hello,
            addresses=self._address,
            events=self,
            heartbeat=heartbeat,
            refused=refused,
            proved=self._proved,
            traffic=traffic,
        )
        self.server = LinkServer(
            hello=hello,
            events=self,
            heartbeat=heartbeat,
            refused=refused,
            traffic=traffic,
        )

    async def start(self, address: Address) -> Address:
        """Listen for links and return the address bound."""
        ip, port = await self.server.start(address.ip, address.port)
        return Address(ip=ip, port=port)

    async def stop(self) -> None:
        """Close all links after what is queued on them."""
        await self.pool.close()
        await self.server.close()

    def follow_plan(self) -> None:
        """Dial and drop hosts as the plan now has it."""
        now_ms = _now_ms()
        self.pool.want(self.plan.choose(self.membership.peers(now_ms), now_ms))

    def send(self, host: str, message: Message) -> int | None:
        """Write on the dialled link; None proves that nothing was written."""
        return self.pool.send(host, message)

    def connect(self, host: str) -> None:
        """Keep a link to ``host`` for a while."""
        self.plan.record_host_demand(host, _now_ms())
        self._follow_plan_soon()

    def need_service(self, service: str) -> None:
        """Keep links to hosts of ``service`` for a while."""
        if self.plan.record_service_demand(service, _now_ms()):
            self._follow_plan_soon()

    def _follow_plan_soon(self) -> None:
        """Follow the plan after the node's present step, which a lost link would enter.

        Failure guarded against: a new demand ends an old one, its link is closed, and
        the node is told so in the middle of a step that still uses it.
        """
        asyncio.get_running_loop().call_soon(self.follow_plan)

    def announce(self, message: Message) -> None:
        """Write on every open link."""
        for host in self._dialled:
            self.pool.send(host, message)
        for node in self._accepted:
            self.reply(node, message)

    def reply(self, node: NodeId, message: Message) -> bool:
        """Write on the newest link that ``node`` dialled."""
        sessions = self._accepted.get(node)
        return bool(sessions) and self.server.send(node, max(sessions), message)

    def link_up(self, host: str, hello: Hello, session: int, dialled: bool) -> None:
        """Take note of a link, then tell the node."""
        self._nodes[host, session, dialled] = hello.node
        if dialled:
            self._dialled[host] = session
        else:
            self._accepted.setdefault(hello.node, []).append(session)
        self.receiver.link_up(hello, session, dialled=dialled)

    def link_message(
        self, host: str, session: int, message: Message, dialled: bool
    ) -> None:
        """Pass a message to the node."""
        node = self._nodes.get((host, session, dialled))
        if node is not None:
            self.receiver.link_message(node, session, message, dialled=dialled)

    def link_lost(self, host: str, session: int, dialled: bool) -> None:
        """Forget a link, then tell the node."""
        node = self._nodes.pop((host, session, dialled))
        replaced = False
        if dialled:
            replaced = self._dialled.get(host) != session
            if not replaced:
                del self._dialled[host]
        else:
            sessions = self._accepted[node]
            sessions.remove(session)
            replaced = bool(sessions)
            if not sessions:
                del self._accepted[node]
        self.receiver.link_lost(node, session, dialled=dialled, replaced=replaced)

    def _proved(self, host: str, session: int, sent_at_ms: float) -> None:
        node = self._nodes.get((host, session, True))
        if node is not None:
            self.receiver.link_proved(node, sent_at_ms)

    def _address(self, host: str) -> tuple[str, int] | None:
        record = self.membership.host_record(host)
        if record is None:
            return None
        address = parse_address(record.link)
        return address.ip, address.port


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000
