"""Random faults, in series that overlap."""

import asyncio
import contextlib
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

from sassafraswinch_standins.relay_settings import Direction, Fault

from .fleet import Host, Play

Act = Callable[[], Awaitable[None]]

RESTORES = 4
"""Weight of a restored store among the faults, where it comes at all."""


class Chaos:
    """Draws faults and carries them out; each ends by itself.

    Args:
        play: what they befall.
        rng: source of the draws.
        restores: whether the store comes back from older copies as well.

    Attributes:
        counts: faults so far, by kind.
        unclean_stops: stops that outlasted their grace time.
    """

    def __init__(self, *, play: Play, rng: random.Random, restores: bool = False):
        self.counts: Counter[str] = Counter()
        self.unclean_stops = 0
        self._play = play
        self._rng = rng
        self._busy: set[str] = set()
        self._acts: list[Act] = [
            self.pause,
            self.kill,
            self.stop,
            self.hang_up,
            self.kill_all,
            self.silence,
            self.cut,
            self.delay,
            self.hold,
            self.store_outage,
            self.store_slow,
            self.forget_history,
            self.server_crash,
            self.server_leaves,
            self.server_misbehaves,
            self.change_routes,
            self.change_routes,
        ]
        if restores:
            self._acts += [self.store_restored] * RESTORES

    async def run(self, seconds: float) -> None:
        """Begin faults for a while; return once all have ended."""
        ends_s = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < ends_s:
                await asyncio.sleep(self._rng.uniform(0.1, 0.9))
                act = self._rng.choice(self._acts)
                group.create_task(act())

    async def pause(self) -> None:
        """Freeze a process for a while."""
        async with self._host("pause") as host:
            if host is None:
                return
            host.signal(signal.SIGSTOP)
            await self._wait(0.2, 2.5)
            host.signal(signal.SIGCONT)

    async def kill(self) -> None:
        async with self._host("kill") as host:
            if host is not None:
                host.kill()
                await self._wait(0.1, 1.0)
                host.start()

    async def stop(self) -> None:
        """Stop a process and start it again, while its callers go on."""
        async with self._host("stop") as host:
            if host is not None:
                self.unclean_stops += not await host.stop()
                await self._wait(0.1, 0.5)
                host.start()

    async def hang_up(self) -> None:
        async with self._host("hang-up") as host:
            if host is not None:
                host.signal(signal.SIGHUP)

    async def kill_all(self) -> None:
        """Kill all processes at once, at times right after a change of the routes."""
        if self._busy or self._rng.random() < 0.5:
            return
        self.counts["kill-all"] += 1
        hosts = self._play.hosts
        self._busy |= {host.name for host in hosts}
        if self._rng.random() < 0.5:
            await self._play.change_routes()
        for host in hosts:
            host.kill()
        self._play.record.forgot_s.append(asyncio.get_running_loop().time())
        await self._wait(0.1, 1.0)
        for host in hosts:
            host.start()
        self._busy -= {host.name for host in hosts}

    async def silence(self) -> None:
        """Drop what goes over open connections, or over all, one way or both."""
        await self._fault(
            "silence",
            Fault.SILENT,
            direction=self._rng.choice(list(Direction)),
            only_open=self._rng.random() < 0.5,
        )

    async def cut(self) -> None:
        await self._fault("cut", Fault.CUT, only_open=self._rng.random() < 0.5)

    async def hold(self) -> None:
        """Deliver what open connections carry only much later."""
        await self._fault(
            "hold", Fault.HELD, direction=self._rng.choice(list(Direction))
        )

    async def _fault(self, name: str, fault: Fault, **options) -> None:
        route = self._route(name)
        route.set_fault(fault, **options)
        await self._wait(0.3, 3.0)
        route.set_fault(Fault.NONE)

    async def delay(self) -> None:
        route = self._route("delay")
        route.delay_ms = self._rng.uniform(20, 300)
        await self._wait(0.5, 2.0)
        route.delay_ms = 0.0

    async def store_outage(self) -> None:
        self.counts["store-outage"] += 1
        outage = self._rng.choice(["busy", "many", "reset", "silent"])
        await self._play.store.set_outage(outage)
        await self._wait(0.3, 3.0)
        await self._play.store.set_outage("")

    async def store_slow(self) -> None:
        self.counts["store-slow"] += 1
        self._play.store.delay_s = self._rng.uniform(0.05, 0.4)
        await self._wait(0.5, 2.0)
        self._play.store.delay_s = 0.0

    async def forget_history(self) -> None:
        self.counts["forget-history"] += 1
        await self._play.store.forget_history()

    async def store_restored(self) -> None:
        """The store is away and comes back from a copy, while changes are made."""
        store = self._play.store
        if self._rng.random() < 0.5:
            await self.change_routes()
        if self._rng.random() < 0.5:
            await self._wait(0.0, 1.0)
        if store.outage:
            return
        self.counts["store-restored"] += 1
        await store.set_outage("reset")
        await self._wait(0.1, 1.5)
        await store.restore(self._rng.uniform(0.2, 4.0))
        await store.set_outage("")
        if self._rng.random() < 0.5:
            await self.change_routes()
        await self._wait(0.0, 2.0)
        await store.write_again()

    async def server_crash(self) -> None:
        """A server ends without a word, and another lifetime begins in its place."""
        async with self._host("server-crash") as host:
            if host is not None:
                old = host.server.instance_id
                host.server.crash()
                await self._wait(0.3, 1.5)
                await host.server.start()
                await host.publish()
                await self._wait(0.5, 2.0)
                await self._play.store.remove(f"servers/{old}")

    async def server_leaves(self) -> None:
        """A server drains and leaves; later another one starts in its place."""
        async with self._host("server-leaves") as host:
            if host is None:
                return
            old = host.server.instance_id
            await host.publish("draining")
            host.server.drain()
            await self._wait(2.5, 4.0)
            host.server.crash()
            await self._play.store.remove(f"servers/{old}")
            await self._wait(0.2, 1.0)
            await host.server.start()
            await host.publish()

    async def server_misbehaves(self) -> None:
        async with self._host("server-misbehaves") as host:
            if host is None:
                return
            server = host.server
            field, value = self._rng.choice(
                [
                    ("lose_share", 0.3),
                    ("double_share", 0.5),
                    ("cut_share", 0.3),
                    ("shed_share", 0.5),
                    ("slow_x", 10.0),
                ]
            )
            setattr(server, field, value)
            await self._wait(0.5, 3.0)
            server.well()

    async def change_routes(self) -> None:
        self.counts["change-routes"] += 1
        await self._play.change_routes()

    @contextlib.asynccontextmanager
    async def _host(self, name: str):
        """Yield a host that no other fault has now; None if there is none."""
        free = [host for host in self._play.hosts if host.name not in self._busy]
        if not free:
            yield None
            return
        host: Host = self._rng.choice(free)
        self.counts[name] += 1
        self._busy.add(host.name)
        try:
            yield host
        finally:
            self._busy.discard(host.name)

    def _route(self, name: str):
        host = self._rng.choice(self._play.hosts)
        kind = self._rng.choice(["link", "link", "store", "server"])
        kind = kind if kind in host.routes else "link"
        self.counts[f"{name}-{kind}"] += 1
        return host.routes[kind]

    async def _wait(self, least_s: float, most_s: float) -> None:
        await asyncio.sleep(self._rng.uniform(least_s, most_s))
