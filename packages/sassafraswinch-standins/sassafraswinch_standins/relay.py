"""TCP relay that can delay, hold, silently drop or reset connections."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import defopt
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route as HttpRoute

from sassafraswinch_standins.relay_settings import (
    Direction,
    Fault,
    RelayControl,
    RelaySettings,
    RouteSettings,
)
from sassafraswinch_standins.serving import (
    bind,
    load_settings,
    parse_address,
    serve,
)

MIN_WRITE_INTERVAL_S = 1e-6
"""Minimum interval between two delayed writes of a pipe, in seconds.

Timers that are due at the same time fire in no defined order.
"""


class Pipe(asyncio.Protocol):
    """One end of a relayed connection, whose data is forwarded to the other end."""

    def __init__(self, *, route: "Route", direction: Direction):
        self.route = route
        self.direction = direction
        self.silent = False
        self.transport: asyncio.Transport | None = None
        self.peer: Pipe | None = None
        self._pending: list[bytes] = []
        self._due_s = 0.0
        self._holding = False
        self._held: list[tuple[Callable[..., None], tuple[bytes, ...]]] = []

    def connection_made(self, transport):
        """Store the transport and, for a client, open the connection to the target."""
        self.transport = transport
        if self.direction is Direction.TO_TARGET:
            self.route.connect(self)

    def data_received(self, data):
        """Forward bytes, or drop them if this direction is silent."""
        if self.silent or self.route.silent(self.direction):
            return
        if self.peer is None:
            self._pending.append(data)
        else:
            self._schedule(self.peer.write, data)

    def connection_lost(self, exc):
        """Close the other end, unless this direction is silent."""
        self.route.pipes.discard(self)
        if self.peer is None or self.silent or self.route.silent(self.direction):
            return
        self._schedule(self.peer.close)

    def _schedule(self, action, *args) -> None:
        """Call ``action`` after the delay of the route, in the order of arrival.

        Without ``_due_s``, bytes that arrive after the delay was lowered would
        overtake earlier ones that are still waiting.
        """
        if self._holding:
            self.route.held += 1
            self._held.append((action, args))
            return
        loop = asyncio.get_running_loop()
        due_s = max(loop.time() + self.route.delay_ms / 1000, self._due_s)
        if due_s <= loop.time():
            action(*args)
            return
        self._due_s = due_s + MIN_WRITE_INTERVAL_S
        self.route.held += 1
        loop.call_at(due_s, self._release, action, *args)

    def hold(self) -> None:
        """Hold all later data and closes until ``deliver_held`` is called."""
        self._holding = True

    def deliver_held(self) -> None:
        """Deliver held data and closes in order, and stop holding."""
        self._holding = False
        held, self._held = self._held, []
        for action, args in held:
            self._release(action, *args)

    def _release(self, action, *args) -> None:
        self.route.held -= 1
        action(*args)

    def join(self, peer: "Pipe") -> None:
        """Connect the two ends and forward the data received before."""
        self.peer, peer.peer = peer, self
        for data in self._pending:
            self.data_received(data)
        self._pending.clear()

    def write(self, data: bytes) -> None:
        """Write to this end unless it is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Close this end after its buffered data has been sent."""
        self.transport.close()

    def abort(self) -> None:
        """Reset the connection of this end."""
        self.transport.abort()


class Route:
    """Listener of the relay, with its connections and faults."""

    def __init__(self, *, settings: RouteSettings):
        self.name = settings.name
        self.target = settings.target
        self.delay_ms = settings.delay_ms
        self.address = ""
        self.pipes: set[Pipe] = set()
        self.held = 0
        """Number of writes and closes waiting for a delay or the end of a fault."""
        self._holding_pipes: list[Pipe] = []
        self._listen = settings.listen
        self._fault = Fault.NONE
        self._direction = Direction.BOTH
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Start to listen and return the address as ``ip:port``."""
        listener, self.address = bind(self._listen)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Pipe(route=self, direction=Direction.TO_TARGET), sock=listener
        )
        return self.address

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        self._abort_pipes()

    def silent(self, direction: Direction) -> bool:
        """Return whether the route drops bytes of a direction on all connections."""
        return self._fault is Fault.SILENT and (
            self._direction in (direction, Direction.BOTH)
        )

    def set_fault(
        self,
        fault: Fault,
        *,
        direction: Direction = Direction.BOTH,
        only_open: bool = False,
    ) -> None:
        """Start or end a fault.

        A connection silenced with ``only_open`` stays silent until it closes, as if
        a middlebox had dropped its state.
        """
        if fault is Fault.SILENT and only_open:
            for pipe in self.pipes:
                pipe.silent |= direction in (pipe.direction, Direction.BOTH)
            return
        if fault is Fault.HELD:
            self._hold_pipes(direction)
            return
        if fault is Fault.NONE:
            self._deliver_held()
        if fault is Fault.CUT:
            self._abort_pipes()
        self._fault = Fault.NONE if fault is Fault.CUT and only_open else fault
        self._direction = direction

    def _hold_pipes(self, direction: Direction) -> None:
        for pipe in self.pipes:
            if direction in (pipe.direction, Direction.BOTH):
                self._holding_pipes.append(pipe)
                pipe.hold()

    def _deliver_held(self) -> None:
        # Closed pipes, no longer in ``self.pipes``, may still hold data they received.
        pipes, self._holding_pipes = self._holding_pipes, []
        for pipe in pipes:
            pipe.deliver_held()

    def connect(self, client: Pipe) -> None:
        """Open the connection to the target for a new client."""
        if self._fault is Fault.CUT:
            client.abort()
            return
        self.pipes.add(client)
        task = asyncio.create_task(self._connect_target(client))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_target(self, client: Pipe) -> None:
        host, port = parse_address(self.target)
        try:
            _, pipe = await asyncio.get_running_loop().create_connection(
                lambda: Pipe(route=self, direction=Direction.TO_CLIENT), host, port
            )
        except OSError:
            client.abort()
            return
        self.pipes.add(pipe)
        client.join(pipe)

    def _abort_pipes(self) -> None:
        for pipe in list(self.pipes):
            pipe.abort()


class Relay:
    """Set of relayed routes, by name."""

    def __init__(self, *, routes: list[RouteSettings]):
        self.routes = {route.name: Route(settings=route) for route in routes}

    async def start(self) -> dict[str, str]:
        """Start all routes and return their addresses by name."""
        return {name: await route.start() for name, route in self.routes.items()}

    def stop(self) -> None:
        """Stop all routes."""
        for route in self.routes.values():
            route.stop()

    def select_routes(self, patterns: list[str]) -> list[Route]:
        """Return the routes that match a pattern: a name, or a prefix and ``*``."""
        return [
            route
            for name, route in self.routes.items()
            if any(
                name.startswith(p[:-1]) if p.endswith("*") else name == p
                for p in patterns
            )
        ]

    def control(self, control: RelayControl) -> list[str]:
        """Apply a control message and return the names of the matching routes."""
        routes = self.select_routes(control.routes)
        for route in routes:
            if control.delay_ms is not None:
                route.delay_ms = control.delay_ms
            if control.fault is not None:
                route.set_fault(
                    control.fault,
                    direction=control.direction,
                    only_open=control.only_open,
                )
        return [route.name for route in routes]


def make_app(relay: Relay) -> Starlette:
    """Return the ASGI application of the control endpoint of a relay."""

    async def control(request: Request) -> Response:
        message = RelayControl.model_validate_json(await request.body())
        return JSONResponse(relay.control(message))

    async def addresses(_request: Request) -> Response:
        return JSONResponse({n: r.address for n, r in relay.routes.items()})

    async def held(_request: Request) -> Response:
        return JSONResponse({n: r.held for n, r in relay.routes.items()})

    return Starlette(
        routes=[
            HttpRoute("/control", control, methods=["POST"]),
            HttpRoute("/held", held),
            HttpRoute("/routes", addresses),
        ]
    )


async def run(settings: RelaySettings) -> None:
    """Run a relay until SIGTERM or SIGINT."""
    relay = Relay(routes=settings.routes)
    await relay.start()
    await serve(make_app(relay), listen=settings.listen)
    relay.stop()


def main(*, settings: Path) -> None:
    """Run the relay.

    Args:
        settings: YAML file with the fields of ``RelaySettings``.
    """
    asyncio.run(run(load_settings(RelaySettings, settings)))


if __name__ == "__main__":
    defopt.run(main)
