"""Injector of random, overlapping faults."""

import asyncio
import contextlib
import math
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable

from sassafraswinch_standins.relay_settings import Direction, Fault

from .fleet import FaultSoakFleet, Host
from .foreign_entries import put_odd_entries
from .notices import LIMITS_PER_S

FaultAction = Callable[[], Awaitable[None]]

RESTORE_WEIGHT = 4
"""Weight of store restores among the faults, if they are enabled."""

LIMITS_WEIGHT = 4
"""Weight of limits, and of leave notices, among the faults, if they are enabled."""


VARIED_WEIGHT = 3
"""Weight of each fault that only soaks of varied requests have."""

FOREIGN_WEIGHT = 8
"""Weight of odd entries among the faults."""

ENDLESS_WEIGHT = 4
"""Weight of answers without end among the faults, if they are enabled."""

ENDLESS_SHARES = (0.01, 1.0)
"""Smallest and greatest share of a server's answers that have no end."""

LOST_SERVICE, SUBSTITUTE = "schvaleni", "prehled"
"""A service whose servers are lost for good, and the one that its route is moved to."""


class Chaos:
    """Injects random faults, each of which ends after a random time.

    Args:
        fleet: hosts and store that the faults are injected into.
        rng: source of faults and durations.
        restores: whether the store is also restored from older copies.
        limits: whether servers also name limits and leave in their responses.
        only_stops: whether processes are only stopped, and receive other signals.
        is_varied: whether servers also send second copies late, and the store is cut
            from the sidecars that follow it.
        is_endless: whether servers also send answers without end.
        loses_service: whether all servers of a service are lost for good, and its route
            is moved to another one.
        has_foreign_entries: whether another writer leaves odd entries among those of
            the servers.

    Attributes:
        counts: number of faults so far, by kind.
        unclean_stops: stops that exceeded the grace period.
    """

    def __init__(
        self,
        *,
        fleet: FaultSoakFleet,
        rng: random.Random,
        restores: bool = False,
        limits: bool = False,
        only_stops: bool = False,
        is_varied: bool = False,
        is_endless: bool = False,
        loses_service: bool = False,
        has_foreign_entries: bool = False,
    ):
        self._loses_service = loses_service
        self.counts: Counter[str] = Counter()
        self.unclean_stops = 0
        self._fleet = fleet
        self._rng = rng
        self._faulty_hosts: set[str] = set()
        self._actions: list[FaultAction] = [
            self.pause,
            self.kill,
            self.stop,
            self.reload_settings,
            self.kill_all,
            self.silence,
            self.cut,
            self.delay,
            self.hold,
            self.store_outage,
            self.store_slow,
            self.discard_watch_history,
            self.server_crash,
            self.server_leaves,
            self.server_misbehaves,
            self.change_routes,
            self.change_routes,
        ]
        if only_stops:
            self._actions = [
                self.stop,
                self.stop,
                self.stop_with_repeated_signals,
                self.reload_settings,
                self.change_routes,
            ]
        if is_varied:
            self._actions += [self.server_sends_late_copies] * VARIED_WEIGHT
            self._actions += [self.cut_store] * VARIED_WEIGHT
        if is_endless:
            self._actions += [self.server_never_ends] * ENDLESS_WEIGHT
        if has_foreign_entries:
            self._actions += [self.foreign_entries] * FOREIGN_WEIGHT
        if restores:
            self._actions += [self.store_restored] * RESTORE_WEIGHT
        if limits:
            self._actions += [self.server_names_limits] * LIMITS_WEIGHT
            self._actions += [self.server_states_that_it_leaves] * LIMITS_WEIGHT

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds; return once all of them have ended."""
        ends_s = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as group:
            if self._loses_service:
                group.create_task(self.service_lost())
            while asyncio.get_running_loop().time() < ends_s:
                await asyncio.sleep(self._rng.uniform(0.1, 0.9))
                action = self._rng.choice(self._actions)
                group.create_task(action())

    async def pause(self) -> None:
        """Suspend a sidecar's process for a random time."""
        async with self._reserve_host("pause") as host:
            if host is None:
                return
            host.signal(signal.SIGSTOP)
            await self._wait(0.2, 2.5)
            host.signal(signal.SIGCONT)

    async def kill(self) -> None:
        async with self._reserve_host("kill") as host:
            if host is not None:
                host.kill()
                await self._wait(0.1, 1.0)
                host.start()

    async def stop(self) -> None:
        """Stop and restart a process while its callers continue to send requests."""
        async with self._reserve_host("stop") as host:
            if host is not None:
                self.unclean_stops += not await host.stop()
                await self._wait(0.1, 0.5)
                host.start()

    async def stop_with_repeated_signals(self) -> None:
        """Stop a process that receives further signals while it stops."""
        async with self._reserve_host("stop-signals") as host:
            if host is None:
                return
            stopping = asyncio.create_task(host.stop())
            for _ in range(self._rng.randint(1, 4)):
                await self._wait(0.0, 2.0)
                host.signal(self._rng.choice([signal.SIGTERM, signal.SIGHUP]))
            self.unclean_stops += not await stopping
            await self._wait(0.1, 0.5)
            host.start()

    async def reload_settings(self) -> None:
        async with self._reserve_host("hang-up") as host:
            if host is not None:
                host.signal(signal.SIGHUP)

    async def kill_all(self) -> None:
        """Kill all processes at once, sometimes right after a change of the routes."""
        if self._faulty_hosts or self._rng.random() < 0.5:
            return
        self.counts["kill-all"] += 1
        hosts = self._fleet.hosts
        self._faulty_hosts |= {host.name for host in hosts}
        if self._rng.random() < 0.5:
            await self._fleet.change_routes()
        for host in hosts:
            host.kill()
        self._fleet.record.all_killed_s.append(asyncio.get_running_loop().time())
        await self._wait(0.1, 1.0)
        for host in hosts:
            host.start()
        self._faulty_hosts -= {host.name for host in hosts}

    async def silence(self) -> None:
        """Drop the traffic of open or all connections, in one or both directions."""
        await self._inject_relay_fault(
            "silence",
            Fault.SILENT,
            direction=self._rng.choice(list(Direction)),
            only_open=self._rng.random() < 0.5,
        )

    async def cut(self) -> None:
        await self._inject_relay_fault(
            "cut", Fault.CUT, only_open=self._rng.random() < 0.5
        )

    async def hold(self) -> None:
        """Hold the traffic of open connections until the fault ends."""
        await self._inject_relay_fault(
            "hold", Fault.HELD, direction=self._rng.choice(list(Direction))
        )

    async def _inject_relay_fault(self, name: str, fault: Fault, **options) -> None:
        route = self._choose_route(name)
        route.set_fault(fault, **options)
        await self._wait(0.3, 3.0)
        route.set_fault(Fault.NONE)

    async def delay(self) -> None:
        route = self._choose_route("delay")
        route.delay_ms = self._rng.uniform(20, 300)
        await self._wait(0.5, 2.0)
        route.delay_ms = 0.0

    async def store_outage(self) -> None:
        self.counts["store-outage"] += 1
        outage = self._rng.choice(["busy", "many", "reset", "silent"])
        await self._fleet.store.set_outage(outage)
        await self._wait(0.3, 3.0)
        await self._fleet.store.set_outage("")

    async def store_slow(self) -> None:
        self.counts["store-slow"] += 1
        self._fleet.store.delay_s = self._rng.uniform(0.05, 0.4)
        await self._wait(0.5, 2.0)
        self._fleet.store.delay_s = 0.0

    async def discard_watch_history(self) -> None:
        self.counts["forget-history"] += 1
        await self._fleet.store.discard_watch_history()

    async def store_restored(self) -> None:
        """Restore the store from an older copy after an outage, amid changes."""
        store = self._fleet.store
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
        await store.rewrite_lost_items()

    async def server_crash(self) -> None:
        """Crash a backend server and start a new instance at the same address.

        The crashed instance's registration is removed later, as if it had expired.
        """
        async with self._reserve_host("server-crash") as host:
            if host is not None:
                old_id = host.server.instance_id
                host.server.crash()
                await self._wait(0.3, 1.5)
                await host.server.start()
                await host.publish()
                await self._wait(0.5, 2.0)
                await self._fleet.store.remove(f"servers/{old_id}")

    async def server_leaves(self) -> None:
        """Drain and stop a backend server; start a new one at its address later."""
        async with self._reserve_host("server-leaves") as host:
            if host is None:
                return
            old_id = host.server.instance_id
            await host.publish("draining")
            host.server.drain()
            await self._wait(2.5, 4.0)
            host.server.crash()
            await self._fleet.store.remove(f"servers/{old_id}")
            await self._wait(0.2, 1.0)
            await host.server.start()
            await host.publish()

    async def server_misbehaves(self) -> None:
        async with self._reserve_host("server-misbehaves") as host:
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
            server.reset_faults()

    async def server_sends_late_copies(self) -> None:
        """Reject requests, and send responses once more where the next is expected."""
        async with self._reserve_host("server-late-copies") as host:
            if host is None:
                return
            host.server.late_copy_share = self._rng.uniform(0.05, 0.6)
            host.server.shed_share = self._rng.uniform(0.2, 0.7)
            await self._wait(1.0, 5.0)
            host.server.reset_faults()

    async def server_never_ends(self) -> None:
        """Send answers without end."""
        async with self._reserve_host("server-never-ends") as host:
            if host is None:
                return
            low, high = map(math.log, ENDLESS_SHARES)
            host.server.endless_share = math.exp(self._rng.uniform(low, high))
            await self._wait(1.0, 5.0)
            host.server.reset_faults()

    async def foreign_entries(self) -> None:
        """Leave odd entries among those of the servers, for good."""
        self.counts["foreign-entries"] += 1
        address = f"{self._rng.choice(self._fleet.hosts).server.ip}:80"
        await put_odd_entries(self._fleet.store, self._rng, address)

    async def service_lost(self) -> None:
        """Lose all servers of a service for good, and move its route later.

        No other fault happens to their hosts: it could start the servers again.
        """
        hosts = [host for host in self._fleet.hosts if host.service == LOST_SERVICE]
        self._faulty_hosts |= {host.name for host in hosts}
        await self._wait(1.0, 4.0)
        self.counts["service-lost"] += 1
        for host in hosts:
            host.server.crash()
        await self._wait(0.0, 3.0)
        for host in hosts:
            await self._fleet.store.remove(f"servers/{host.server.instance_id}")
        await self._wait(0.0, 4.0)
        self._fleet.approving_service = SUBSTITUTE
        await self._fleet.change_routes()

    async def cut_store(self) -> None:
        """Cut all hosts from the store at once, amid changes of the routes."""
        self.counts["cut-store-everywhere"] += 1
        fault = self._rng.choice([Fault.CUT, Fault.SILENT])
        routes = [host.routes["store"] for host in self._fleet.hosts]
        for route in routes:
            route.set_fault(fault, only_open=True)
        await self.change_routes()
        await self._wait(0.3, 3.0)
        for route in routes:
            route.set_fault(Fault.NONE)

    async def server_names_limits(self) -> None:
        """Name a limit, change it at random and withdraw it.

        Other faults of the host go on meanwhile.
        """
        self.counts["server-limits"] += 1
        server = self._rng.choice(self._fleet.hosts).server
        for _ in range(self._rng.randint(1, 3)):
            server.limit_per_s = self._rng.choice(LIMITS_PER_S)
            await self._wait(1.0, 5.0)
        server.limit_per_s = None

    async def server_states_that_it_leaves(self) -> None:
        """Leave without a change of the registration, which is removed at the end."""
        async with self._reserve_host("server-states-leaving") as host:
            if host is None:
                return
            old_id = host.server.instance_id
            host.server.leaving = True
            # A host with another fault could crash the server and start the next one.
            await self._wait(2.5, 4.0)
            host.server.crash()
            await self._fleet.store.remove(f"servers/{old_id}")
            await self._wait(0.2, 1.0)
            await host.server.start()
            await host.publish()

    async def change_routes(self) -> None:
        self.counts["change-routes"] += 1
        await self._fleet.change_routes()

    @contextlib.asynccontextmanager
    async def _reserve_host(self, name: str):
        """Yield a random host without another fault, or None if there is none."""
        available = [
            host for host in self._fleet.hosts if host.name not in self._faulty_hosts
        ]
        if not available:
            yield None
            return
        host: Host = self._rng.choice(available)
        self.counts[name] += 1
        self._faulty_hosts.add(host.name)
        try:
            yield host
        finally:
            self._faulty_hosts.discard(host.name)

    def _choose_route(self, name: str):
        host = self._rng.choice(self._fleet.hosts)
        kind = self._rng.choice(["link", "link", "store", "server"])
        kind = kind if kind in host.routes else "link"
        self.counts[f"{name}-{kind}"] += 1
        return host.routes[kind]

    async def _wait(self, min_s: float, max_s: float) -> None:
        await asyncio.sleep(self._rng.uniform(min_s, max_s))
