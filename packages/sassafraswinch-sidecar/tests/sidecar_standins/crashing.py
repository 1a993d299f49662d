"""Backend servers that crash on a bad request."""

import asyncio
import itertools

from .backend import answer

BAD = "/orders/bad"
RESTART_S = 0.15
"""Time after which a crashed server runs again."""


class CrashingServers:
    """Servers that crash when they run a bad request, and restart as new instances.

    Attributes:
        crashes: ids of the bad requests that a server ran, one for each crash.
        fatal: targets of bad requests.
        run_ms: time that other requests take.
    """

    def __init__(self, fleet, service):
        self.crashes: list[str] = []
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
                return  # It was received before the crash, and doesn't run.
            if seen.target in self.fatal:
                self.crashes.append(seen.request_id.decode())
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
        """Restart a server, after a while and as a new instance."""
        await asyncio.sleep(RESTART_S)
        self._down.discard(node.ip)
        await node.backend.open(node.ip, node.backend_port)
        name = f"i-{node.ip}-{next(self._numbers)}"
        await node.put_instance(self._store, name=name)

    async def wait_until_all_up(self) -> None:
        """Wait until every server runs again."""
        await asyncio.gather(*self._tasks)


def cycle_hosts(fleet):
    """Return an endless iterator over all hosts."""
    return itertools.cycle(fleet.nodes)


async def crash_three_servers(fleet, servers):
    """Send the bad request at one host after the other until three servers crash."""
    numbers = itertools.count(1)
    for node in cycle_hosts(fleet):
        await fleet.call(node, target=BAD, request_id=f"bad-{next(numbers)}")
        if len(servers.crashes) >= 3:
            return
        await servers.wait_until_all_up()
