"""Platform stand-in: published document and host list, with fault injection."""

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
"""Maximum duration of a watch (long poll), in milliseconds."""

READ_SERIES_S = 600
"""Length of the retained series of reads per second, in seconds."""


class Mode(enum.Enum):
    """Response mode of the platform for reads."""

    UP = "up"
    DOWN = "down"
    """Every read fails with status 503."""
    STALE = "stale"
    """Reads return the versions current when the mode was set, or pinned ones."""
    HANG = "hang"
    """Reads get no response until the mode changes."""


class PlatformSettings(StrictModel):
    """Settings file of the platform stand-in."""

    listen: str = "127.0.0.1:0"
    document: dict[str, Any] | None = None
    document_file: Path | None = None
    hosts: list[dict[str, str]] = []


class Control(StrictModel):
    """Body of ``POST /control``; each field that is set is applied."""

    mode: Mode | None = None
    document_version: int | None = None
    """Document version to serve in mode ``stale``; it may be an older one."""
    document: str | dict[str, Any] | None = None
    """Document to publish; a string is served byte for byte, even if it is invalid."""
    version: int | None = None
    """Version to send in ``x-version``; defaults to the version in the document."""
    hosts: list[dict[str, str]] | None = None
    """Host list to publish under the next version."""
    after_ms: float = 0
    """Delay before the host list is published, to simulate a lagging list."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedVersion:
    """Published version of a value."""

    version: int
    body: bytes
    media_type: str


@dataclass(slots=True, kw_only=True)
class VersionHistory:
    """Published versions of one value, oldest first."""

    versions: list[PublishedVersion] = field(default_factory=list)
    pinned: PublishedVersion | None = None

    def newest(self) -> PublishedVersion | None:
        """Return the latest published version, or None if there is none."""
        return self.versions[-1] if self.versions else None

    def pin(self, version: int | None) -> None:
        """Pin the version for stale reads: the given one, or the newest if unknown."""
        matches = [
            published for published in self.versions if published.version == version
        ]
        self.pinned = matches[-1] if matches else self.newest()


class ReadCounter:
    """Counter of reads per second; a watch counts once, however long it waits."""

    def __init__(self):
        self.total = 0
        self._by_second: Counter[int] = Counter()

    def count(self, now_s: float) -> None:
        """Count one read."""
        self.total += 1
        self._by_second[int(now_s)] += 1
        if len(self._by_second) > READ_SERIES_S:
            del self._by_second[min(self._by_second)]

    def report(self, now_s: float) -> dict[str, Any]:
        """Return the total, the peak rate and the reads per second up to now."""
        first = min(self._by_second, default=int(now_s))
        series = [self._by_second[s] for s in range(first, int(now_s) + 1)]
        return {
            "reads": self.total,
            "peak_reads_per_s": max(series, default=0),
            "reads_per_s": series,
        }


class Platform:
    """Published values of the platform, its response mode and its read counts."""

    def __init__(self):
        self.mode = Mode.UP
        self.documents = VersionHistory()
        self.host_lists = VersionHistory()
        self.reads = ReadCounter()
        self._host_versions = itertools.count(1)
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task] = set()

    def publish_document(
        self, document: str | dict[str, Any], *, version: int | None = None
    ) -> None:
        """Publish a document, under its own version unless another one is given."""
        text = document if isinstance(document, str) else yaml.safe_dump(document)
        if version is None:
            fields = yaml.safe_load(text) if isinstance(document, str) else document
            version = int(fields["version"])
        published = PublishedVersion(
            version=version, body=text.encode(), media_type="application/yaml"
        )
        self.documents.versions.append(published)

    def publish_hosts(self, hosts: list[dict[str, str]]) -> None:
        """Publish a host list under the next version."""
        published = PublishedVersion(
            version=next(self._host_versions),
            body=orjson.dumps(hosts),
            media_type="application/json",
        )
        self.host_lists.versions.append(published)

    async def control(self, control: Control) -> None:
        """Apply a control message and wake all watches."""
        if control.document is not None:
            self.publish_document(control.document, version=control.version)
        if control.hosts is not None and not control.after_ms:
            self.publish_hosts(control.hosts)
        elif control.hosts is not None:
            self._start_task(self._publish_delayed(control.hosts, control.after_ms))
        if control.mode is not None:
            self.documents.pin(control.document_version)
            self.host_lists.pin(None)
            self.mode = control.mode
        await self._notify_watches()

    async def read(
        self, history: VersionHistory, *, after: int, wait_ms: float
    ) -> tuple[int, PublishedVersion | None]:
        """Handle a read or a watch.

        Args:
            history: the published versions of the value to read.
            after: return only a greater version; -1 returns any.
            wait_ms: how long a watch waits for a greater version.

        Returns:
            The HTTP status, and the published version if the status is 200.
        """
        self.reads.count(time.monotonic())
        deadline_s = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / 1000
        while True:
            if self.mode is Mode.DOWN:
                return 503, None
            published = history.pinned if self.mode is Mode.STALE else history.newest()
            if self.mode is not Mode.HANG:
                if published is not None and published.version > after:
                    return 200, published
                if time.monotonic() >= deadline_s:
                    return (404 if published is None else 304), None
            await self._wait_for_change(
                None if self.mode is Mode.HANG else deadline_s - time.monotonic()
            )

    async def _wait_for_change(self, timeout_s: float | None) -> None:
        async with self._changed:
            try:
                async with asyncio.timeout(timeout_s):
                    await self._changed.wait()
            except TimeoutError:
                return

    async def _notify_watches(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _publish_delayed(
        self, hosts: list[dict[str, str]], after_ms: float
    ) -> None:
        await asyncio.sleep(after_ms / 1000)
        self.publish_hosts(hosts)
        await self._notify_watches()

    def _start_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _read_handler(
    platform: Platform, history: VersionHistory
) -> Callable[[Request], Awaitable[Response]]:
    async def read(request: Request) -> Response:
        status, published = await platform.read(
            history,
            after=int(request.query_params.get("after", -1)),
            wait_ms=float(request.query_params.get("wait_ms", 0)),
        )
        if published is None:
            return Response(status_code=status)
        return Response(
            published.body,
            media_type=published.media_type,
            headers={"x-version": str(published.version)},
        )

    return read


def make_app(platform: Platform) -> Starlette:
    """Return the ASGI application of a platform stand-in."""

    async def stats(_request: Request) -> Response:
        return JSONResponse(platform.reads.report(time.monotonic()))

    async def control(request: Request) -> Response:
        await platform.control(Control.model_validate_json(await request.body()))
        return JSONResponse({"mode": platform.mode.value})

    return Starlette(
        routes=[
            Route("/v1/document", _read_handler(platform, platform.documents)),
            Route("/v1/hosts", _read_handler(platform, platform.host_lists)),
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
