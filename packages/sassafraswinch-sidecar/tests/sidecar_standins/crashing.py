"""Backend servers that a bad request ends."""

import asyncio
import itertools

from .backend import answer

BAD = "/orders/bad"
RESTART_S = 0.15
"""Time after which a server that has ended runs again."""


class CrashingServers:
    """Servers that end when they run a bad request, and start again as new ones.

    Attributes:
        ends: ids of the bad requests that a server ran, one for each end.
        fatal: targets of bad requests.
    """

    def __init__(self, fleet, service):
        self.ends: list[str] = []
        self.fatal = {BAD.encode()}
        self.run_ms = 0.0
        self._down: set[str] = set()
        self._store = fleet.store
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task] = []
        for node in fleet.nodes_of(service):
            self._behave(node)

    def _behave(self, node) -> None:
        def behave(connection, seen):
            if node.ip in self._down:
                return  # It was read before the end, and doesn't run.
            if seen.target in self.fatal:
                self.ends.append(seen.request_id.decode())
                self._down.add(node.ip)
                node.backend.close()
                self._tasks.append(asyncio.create_task(self.restart(node)))
            elif self.run_ms:
                loop = asyncio.get_running_loop()
                loop.call_later(
                    self.run_ms / 1000, connection.transport.write, answer(seen)
                )
            else:
                connection.transport.write(answer(seen))

        node.backend.behaviour = behave

    async def restart(self, node) -> None:
        """Start a server again, after a while and as a new instance."""
        await asyncio.sleep(RESTART_S)
        self._down.discard(node.ip)
        await node.backend.open(node.ip, node.backend_port)
        name = f"i-{node.ip}-{next(self._numbers)}"
        await node.put_instance(self._store, name=name)

    async def all_up(self) -> None:
        """Wait until every server runs again."""
        await asyncio.gather(*self._tasks)


def other_hosts(fleet):
    """Return all hosts, again and again."""
    return itertools.cycle(fleet.nodes)


async def end_three_servers(fleet, servers):
    """Send the bad request, at one host after the other, until three servers ended."""
    numbers = itertools.count(1)
    for node in other_hosts(fleet):
        await fleet.call(node, target=BAD, request_id=f"bad-{next(numbers)}")
        if len(servers.ends) >= 3:
            return
        await servers.all_up()
