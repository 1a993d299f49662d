"""Platform stand-in: publishes a document and a host list, and fails on demand."""

import asyncio
import enum
import itertools
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import defopt
import orjson
import yaml
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from sassafraswinch_standins.serving import StrictModel, load_settings, serve

MAX_WAIT_MS = 60_000
"""Longest wait of a watch, in milliseconds."""

KEPT_SECONDS = 600
"""Seconds of the reads-per-second series that are kept."""


class Mode(enum.Enum):
    """How the platform answers reads."""

    UP = "up"
    DOWN = "down"
    """Every read fails with 503."""
    STALE = "stale"
    """Reads see the copies of the moment when the mode was set, or pinned ones."""
    HANG = "hang"
    """Reads get no answer until the mode changes."""


class PlatformSettings(StrictModel):
    """Settings file of the platform stand-in."""

    listen: str = "127.0.0.1:0"
    document: dict[str, Any] | None = None
    document_file: Path | None = None
    hosts: list[dict[str, str]] = []


class Control(StrictModel):
    """Body of ``POST /control``; each field that is given is carried out."""

    mode: Mode | None = None
    document_version: int | None = None
    """With mode stale: the version to serve, which may be an older one."""
    document: str | dict[str, Any] | None = None
    """Publishes this document; a text goes out byte for byte, also an invalid one."""
    version: int | None = None
    """Version for ``x-version``; by default the one in the document."""
    hosts: list[dict[str, str]] | None = None
    """Publishes this host list under the next version."""
    after_ms: float = 0
    """Publishes the host list only after this time: the list lags."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Copy:
    """One published version of a value."""

    version: int
    body: bytes
    media_type: str


@dataclass(slots=True, kw_only=True)
class Shelf:
    """All published versions of one value, oldest first."""

    copies: list[Copy] = field(default_factory=list)
    pinned: Copy | None = None

    def newest(self) -> Copy | None:
        """Return the copy published last; None before the first."""
        return self.copies[-1] if self.copies else None

    def pin(self, version: int | None) -> None:
        """Choose the copy of stale reads: of a version, or the newest."""
        matches = [copy for copy in self.copies if copy.version == version]
        self.pinned = matches[-1] if matches else self.newest()


class ReadCounter:
    """Counts reads per second; a watch counts once, however long it waits."""

    def __init__(self):
        self.total = 0
        self._by_second: Counter[int] = Counter()

    def count(self, now_s: float) -> None:
        """Count one read."""
        self.total += 1
        self._by_second[int(now_s)] += 1
        if len(self._by_second) > KEPT_SECONDS:
            del self._by_second[min(self._by_second)]

    def report(self, now_s: float) -> dict[str, Any]:
        """Return the total, the peak second and the series up to now."""
        first = min(self._by_second, default=int(now_s))
        series = [self._by_second[s] for s in range(first, int(now_s) + 1)]
        return {
            "reads": self.total,
            "peak_reads_per_s": max(series, default=0),
            "reads_per_s": series,
        }


class Platform:
    """What the platform publishes, its fault mode and the count of reads."""

    def __init__(self):
        self.mode = Mode.UP
        self.documents = Shelf()
        self.host_lists = Shelf()
        self.reads = ReadCounter()
        self._host_versions = itertools.count(1)
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task] = set()

    def publish_document(
        self, document: str | dict[str, Any], *, version: int | None = None
    ) -> None:
        """Put a document up, under its own version unless another one is given."""
        text = document if isinstance(document, str) else yaml.safe_dump(document)
        if version is None:
            fields = yaml.safe_load(text) if isinstance(document, str) else document
            version = int(fields["version"])
        copy = Copy(version=version, body=text.encode(), media_type="application/yaml")
        self.documents.copies.append(copy)

    def publish_hosts(self, hosts: list[dict[str, str]]) -> None:
        """Put a host list up under the next version."""
        copy = Copy(
            version=next(self._host_versions),
            body=orjson.dumps(hosts),
            media_type="application/json",
        )
        self.host_lists.copies.append(copy)

    async def control(self, control: Control) -> None:
        """Carry out an order of a test, and wake the watches."""
        if control.document is not None:
            self.publish_document(control.document, version=control.version)
        if control.hosts is not None and not control.after_ms:
            self.publish_hosts(control.hosts)
        elif control.hosts is not None:
            self._start(self._publish_late(control.hosts, control.after_ms))
        if control.mode is not None:
            self.documents.pin(control.document_version)
            self.host_lists.pin(None)
            self.mode = control.mode
        await self._wake()

    async def read(
        self, shelf: Shelf, *, after: int, wait_ms: float
    ) -> tuple[int, Copy | None]:
        """Answer a read or a watch.

        Args:
            shelf: which value is read.
            after: only a greater version is news; -1 takes any.
            wait_ms: how long a watch waits for news.

        Returns:
            The HTTP status, and the copy when it is 200.
        """
        self.reads.count(time.monotonic())
        ends_at = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / 1000
        while True:
            if self.mode is Mode.DOWN:
                return 503, None
            copy = shelf.pinned if self.mode is Mode.STALE else shelf.newest()
            if self.mode is not Mode.HANG:
                if copy is not None and copy.version > after:
                    return 200, copy
                if time.monotonic() >= ends_at:
                    return (404 if copy is None else 304), None
            await self._wait_until(
                None if self.mode is Mode.HANG else ends_at - time.monotonic()
            )

    async def _wait_until(self, timeout_s: float | None) -> None:
        async with self._changed:
            try:
                async with asyncio.timeout(timeout_s):
                    await self._changed.wait()
            except TimeoutError:
                return

    async def _wake(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _publish_late(self, hosts: list[dict[str, str]], after_ms: float) -> None:
        await asyncio.sleep(after_ms / 1000)
        self.publish_hosts(hosts)
        await self._wake()

    def _start(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _reader(
    platform: Platform, shelf: Shelf
) -> Callable[[Request], Awaitable[Response]]:
    async def read(request: Request) -> Response:
        status, copy = await platform.read(
            shelf,
            after=int(request.query_params.get("after", -1)),
            wait_ms=float(request.query_params.get("wait_ms", 0)),
        )
        if copy is None:
            return Response(status_code=status)
        return Response(
            copy.body,
            media_type=copy.media_type,
            headers={"x-version": str(copy.version)},
        )

    return read


def make_app(platform: Platform) -> Starlette:
    """Return the HTTP interface of a platform stand-in."""

    async def stats(_request: Request) -> Response:
        return JSONResponse(platform.reads.report(time.monotonic()))

    async def control(request: Request) -> Response:
        await platform.control(Control.model_validate_json(await request.body()))
        return JSONResponse({"mode": platform.mode.value})

    return Starlette(
        routes=[
            Route("/v1/document", _reader(platform, platform.documents)),
            Route("/v1/hosts", _reader(platform, platform.host_lists)),
            Route("/stats", stats),
            Route("/control", control, methods=["POST"]),
        ]
    )


async def run(settings: PlatformSettings) -> None:
    """Serve a platform stand-in until SIGTERM."""
    platform = Platform()
    if settings.document is not None:
        platform.publish_document(settings.document)
    if settings.document_file is not None:
        platform.publish_document(settings.document_file.read_text())
    platform.publish_hosts(settings.hosts)
    await serve(make_app(platform), listen=settings.listen)


def main(*, settings: Path) -> None:
    """Run the platform stand-in.

    Args:
        settings: YAML file with the fields of ``PlatformSettings``.
    """
    asyncio.run(run(load_settings(PlatformSettings, settings)))


if __name__ == "__main__":
    defopt.run(main)
