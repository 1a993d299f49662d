"""TCP relay that can make a connection silent, slow, or cut it."""

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

ORDER_STEP_S = 1e-6
"""Distance of two delayed writes, in seconds: timers of one time have no order."""


class Pipe(asyncio.Protocol):
    """One end of a relayed connection; writes what it reads to the other end."""

    def __init__(self, *, route: "Route", direction: Direction):
        self.route = route
        self.direction = direction
        self.silent = False
        self.transport: asyncio.Transport | None = None
        self.peer: Pipe | None = None
        self._early: list[bytes] = []
        self._due_s = 0.0
        self._holding = False
        self._held: list[tuple[Callable[..., None], tuple[bytes, ...]]] = []

    def connection_made(self, transport):
        """Take the client's connection over, or complete the one to the target."""
        self.transport = transport
        if self.direction is Direction.TO_TARGET:
            self.route.connect(self)

    def data_received(self, data):
        """Pass bytes on, or drop them."""
        if self.silent or self.route.silent(self.direction):
            return
        if self.peer is None:
            self._early.append(data)
        else:
            self._in_order(self.peer.write, data)

    def connection_lost(self, exc):
        """Close the other end, unless the connection is silent."""
        self.route.pipes.discard(self)
        if self.peer is None or self.silent or self.route.silent(self.direction):
            return
        self._in_order(self.peer.close)

    def _in_order(self, act, *args) -> None:
        """Act after the delay, never before what came earlier.

        A delay that is lowered while bytes wait would let later ones overtake them.
        """
        if self._holding:
            self.route.held += 1
            self._held.append((act, args))
            return
        loop = asyncio.get_running_loop()
        due_s = max(loop.time() + self.route.delay_ms / 1000, self._due_s)
        if due_s <= loop.time():
            act(*args)
            return
        self._due_s = due_s + ORDER_STEP_S
        self.route.held += 1
        loop.call_at(due_s, self._release, act, *args)

    def hold(self) -> None:
        """Keep what comes from now on."""
        self._holding = True

    def deliver_held(self) -> None:
        """Deliver what was kept, in order, and keep nothing more."""
        self._holding = False
        held, self._held = self._held, []
        for act, args in held:
            self._release(act, *args)

    def _release(self, act, *args) -> None:
        self.route.held -= 1
        act(*args)

    def join(self, peer: "Pipe") -> None:
        """Tie the two ends together and pass on what came meanwhile."""
        self.peer, peer.peer = peer, self
        for data in self._early:
            self.data_received(data)
        self._early.clear()

    def write(self, data: bytes) -> None:
        """Write to this end if it is still open."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Close this end after what was written."""
        self.transport.close()

    def abort(self) -> None:
        """Reset this end."""
        self.transport.abort()


class Route:
    """One listener of the relay and its connections."""

    def __init__(self, *, settings: RouteSettings):
        self.name = settings.name
        self.target = settings.target
        self.delay_ms = settings.delay_ms
        self.address = ""
        self.pipes: set[Pipe] = set()
        self.held = 0
        """Writes and closes that wait for their delay or for the end of a fault."""
        self._holding: list[Pipe] = []
        self._listen = settings.listen
        self._fault = Fault.NONE
        self._direction = Direction.BOTH
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Listen; returns ``ip:port``."""
        listener, self.address = bind(self._listen)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Pipe(route=self, direction=Direction.TO_TARGET), sock=listener
        )
        return self.address

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        self._abort()

    def silent(self, direction: Direction) -> bool:
        """Whether the route drops bytes of a direction, on all connections."""
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
        """Begin or end a fault.

        A connection that ``only_open`` made silent stays silent until it closes, as
        after a middlebox forgot it.
        """
        if fault is Fault.SILENT and only_open:
            for pipe in self.pipes:
                pipe.silent |= direction in (pipe.direction, Direction.BOTH)
            return
        if fault is Fault.HELD:
            self._hold(direction)
            return
        if fault is Fault.NONE:
            self._deliver_held()
        if fault is Fault.CUT:
            self._abort()
        self._fault = Fault.NONE if fault is Fault.CUT and only_open else fault
        self._direction = direction

    def _hold(self, direction: Direction) -> None:
        for pipe in self.pipes:
            if direction in (pipe.direction, Direction.BOTH):
                self._holding.append(pipe)
                pipe.hold()

    def _deliver_held(self) -> None:
        # Pipes whose own end has closed still hold what they read before.
        holding, self._holding = self._holding, []
        for pipe in holding:
            pipe.deliver_held()

    def connect(self, client: Pipe) -> None:
        """Open the connection to the target for a new client."""
        if self._fault is Fault.CUT:
            client.abort()
            return
        self.pipes.add(client)
        task = asyncio.create_task(self._connect(client))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, client: Pipe) -> None:
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

    def _abort(self) -> None:
        for pipe in list(self.pipes):
            pipe.abort()


class Relay:
    """Routes by name."""

    def __init__(self, *, routes: list[RouteSettings]):
        self.routes = {route.name: Route(settings=route) for route in routes}

    async def start(self) -> dict[str, str]:
        """Listen on all routes; returns the address of each."""
        return {name: await route.start() for name, route in self.routes.items()}

    def stop(self) -> None:
        """Close everything."""
        for route in self.routes.values():
            route.stop()

    def chosen(self, patterns: list[str]) -> list[Route]:
        """Return the routes that names or beginnings of names select."""
        return [
            route
            for name, route in self.routes.items()
            if any(
                name.startswith(p[:-1]) if p.endswith("*") else name == p
                for p in patterns
            )
        ]

    def control(self, control: RelayControl) -> list[str]:
        """Carry out an order; returns the names of the routes that it reached."""
        routes = self.chosen(control.routes)
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
    """Return the control endpoint of a relay."""

    async def control(request: Request) -> Response:
        order = RelayControl.model_validate_json(await request.body())
        return JSONResponse(relay.control(order))

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
    """Relay until SIGTERM."""
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
