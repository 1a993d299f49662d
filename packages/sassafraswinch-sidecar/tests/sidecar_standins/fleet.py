"""Test fleet: sidecars and backend servers on loopback with an in-memory platform."""

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError
from sassafraswinch.organisations import (
    Organisation,
    OrganisationKeys,
    Organisations,
    RateLimit,
)
from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.instances import NO_INCARNATION, Instance
from sassafraswinch_sidecar.routes import RequestLimits, Route, RouteTable, Share
from sassafraswinch_sidecar.sidecar import Sidecar
from sassafraswinch_sidecar.sidecar_settings import SidecarSettings

from .backend import Backend
from .notices import MemoryNoticeDecoder
from .store import INSTANCE, HostStore, MemoryStore

ROUTES = "routes"


class MemoryDecoder:
    """Decodes the values of ``MemoryStore``: JSON objects of the fields."""

    def instance_id(self, key):
        return key[len(INSTANCE) :] if key.startswith(INSTANCE) else None

    def is_route_table(self, key):
        return key == ROUTES

    def parse_instance(self, instance_id, value):
        fields = json.loads(value)
        if "fault" in fields:
            error = InvalidFieldError(source=instance_id, field="fault", reason="wrong")
            raise InvalidFieldsError("instance", [error])
        return Instance(id=instance_id, **fields)

    def parse_route_table(self, value):
        fields = json.loads(value)
        if "fault" in fields:
            error = InvalidFieldError(source=ROUTES, field="fault", reason="is wrong")
            raise InvalidFieldsError("routes", [error])
        return RouteTable(
            version=fields["version"],
            routes=tuple(
                Route(**route | {"shares": tuple(Share(**s) for s in route["shares"])})
                for route in fields["routes"]
            ),
            limits=RequestLimits(**fields.get("limits", {})),
            known_services=frozenset(fields.get("known_services", ())),
            health_paths=fields.get("health_paths", {}),
            organisations=read_organisations(fields.get("organisations")),
        )


def read_organisations(listed):
    """Decode organisations in the form of ``organisation``; None stays None."""
    if listed is None:
        return None
    entries = [
        OrganisationKeys(
            organisation=Organisation(
                name=each["name"],
                priority=each["priority"],
                limit=RateLimit(**each["limit"]) if each["limit"] else None,
            ),
            api_keys=tuple(each["api_keys"]),
        )
        for each in listed
    ]
    return Organisations(organisation_keys=entries)


@dataclass
class Node:
    """A sidecar with its backend server and the platform's store."""

    ip: str
    service: str
    backend: Backend
    backend_port: int
    store: MemoryStore
    settings: SidecarSettings
    sidecar: Sidecar | None = None
    task: asyncio.Task | None = None

    def start(self) -> None:
        self.sidecar = Sidecar(
            settings=self.settings,
            names=HeaderNames(),
            store=HostStore(store=self.store, ip=self.ip),
            decoder=MemoryDecoder(),
            notice_decoder=MemoryNoticeDecoder(),
            ready_path=b"/ready",
            load_settings=lambda: self.settings,
        )
        self.task = asyncio.create_task(self.sidecar.run())

    async def kill(self) -> None:
        """Stop without draining, as a killed process does."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        for link in [*self.sidecar._links.accepted]:
            link.abort()
        await self.sidecar._close()

    async def put_instance(
        self, store, *, leaving=False, name=None, incarnation=NO_INCARNATION
    ) -> None:
        await store.put(
            f"{INSTANCE}{name or 'i-' + self.ip}",
            {
                "service": self.service,
                "ip": self.ip,
                "port": self.backend_port,
                "availability_zone": "brno-a",
                "slots": 8,
                "leaving": leaving,
                "cold_ms": 0.0,
                "incarnation": incarnation,
            },
        )


@dataclass
class TestFleet:
    """The nodes of a test and their store."""

    __test__ = False

    store: MemoryStore
    nodes: list[Node] = field(default_factory=list)

    def nodes_of(self, service: str) -> list[Node]:
        return [node for node in self.nodes if node.service == service]

    async def call(self, node: Node, **options) -> "CallerResponse":
        return await call(node.settings.address("outbound"), **options)


@dataclass
class CallerResponse:
    """A response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes


def request_bytes(
    *,
    target="/orders/1",
    method="GET",
    request_id="r-1",
    time_left_ms=3_000,
    body=b"",
    fields="",
) -> bytes:
    """Return the bytes of a request."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {time_left_ms}\r\n"
        f"{fields}{length}\r\n"
    ).encode() + body


async def read_answer(reader) -> CallerResponse:
    """Read one response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in head[1:] if line)
    headers = {name.lower(): value for name, value in headers.items()}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return CallerResponse(status=int(head[0].split()[1]), headers=headers, body=body)


async def call(address, **options) -> CallerResponse:
    """Send one request on a new connection and return the response."""
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(request_bytes(**options))
    try:
        async with asyncio.timeout(10):
            return await read_answer(reader)
    finally:
        writer.close()


_USED_PORTS: set[int] = set()


def free_port() -> int:
    """Return a port that is free on all loopback addresses, each port at most once.

    Failure: the kernel assigns a port that was probed and closed to the next listener
    that requests any port. A backend server then listened on the link port, and the
    Hello messages of sidecars made its parser fail.
    """
    while True:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("0.0.0.0", 0))
            port = probe.getsockname()[1]
        if port not in _USED_PORTS:
            _USED_PORTS.add(port)
            return port


def route(name, prefix, service, **fields) -> dict:
    """Return a route in the form that ``MemoryDecoder`` decodes."""
    return {
        "name": name,
        "host": "shop.example",
        "prefix": prefix,
        "shares": [{"service": service, "weight": 1}],
        "idempotent": True,
        "max_attempts": 2,
        "timeout_ms": 2_000.0,
        "target_latency_ms": 1_000.0,
        "priority": 1,
    } | fields


def organisation(name, *api_keys, priority=None, limit=None) -> dict:
    """Return an organisation in the form that ``MemoryDecoder`` decodes."""
    return {
        "name": name,
        "api_keys": list(api_keys),
        "priority": priority,
        "limit": limit,
    }


async def put_routes(store: MemoryStore, version: int, **fields) -> None:
    """Write a version of the routes, with one route that only this version has."""
    routes = [
        route("orders", "/orders/", "archiv"),
        route("approve", "/approve/", "schvaleni", idempotent=False),
        route(f"version-{version}", f"/version-{version}/", "archiv"),
    ]
    await store.put(ROUTES, {"version": version, "routes": routes} | fields)


async def until(condition, *, seconds=10.0) -> None:
    """Wait until a condition is true."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def running_fleet(*services: str) -> AsyncIterator[TestFleet]:
    """Start a sidecar and a backend server for each named service."""
    store = MemoryStore()
    fleet = TestFleet(store)
    link_port = free_port()
    for number, service in enumerate(services, 2):
        ip = f"127.0.0.{number}"
        backend = Backend()
        port = await backend.open(ip, free_port())
        settings = SidecarSettings(
            host=f"host-{number}",
            ip=ip,
            availability_zone="brno-a",
            service=service,
            backend=f"{ip}:{port}",
            outbound=f"{ip}:{free_port()}",
            ready=f"{ip}:{free_port()}",
            link_port=link_port,
            metrics_port=free_port(),
            platform="127.0.0.1:1",
            drain_s=2.0,
        )
        node = Node(ip, service, backend, port, store, settings)
        fleet.nodes.append(node)
        await node.put_instance(store)
    await put_routes(store, 1)
    for node in fleet.nodes:
        node.start()
    try:
        await until(lambda: all(sees_all(node, fleet) for node in fleet.nodes))
        yield fleet
    finally:
        for node in fleet.nodes:
            await node.kill()
            node.backend.close()


def sees_all(node: Node, fleet: TestFleet) -> bool:
    """Return whether a node is ready and may send requests to all nodes."""
    loads_known = [
        node.sidecar._loads.load_of(each.ip) is not None for each in fleet.nodes
    ]
    return node.sidecar.is_ready and all(loads_known)
