"""Stand-in for the platform's store: items, ranges and watches, with one revision."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500


class Store:
    """Serves reads; each sidecar has a port of its own, which tells its calls apart.

    Attributes:
        refused: names of sidecars that get status 503 on every call.
        silent: names of sidecars whose calls get no answer.
        delay_s: delay of each answer.
    """

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 10
        self.compacted = 10
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.delay_s = 0.0
        self.calls: list[tuple[float, str, str]] = []
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._writers: dict[str, set] = {}

    async def listen(self, name: str, ip: str) -> str:
        """Open a port for one sidecar; return its address."""

        async def serve(reader, writer):
            await self._serve(name, reader, writer)

        server = await asyncio.start_server(serve, ip, 0)
        self._servers.append(server)
        return f"{ip}:{server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Close all ports."""
        for server in self._servers:
            server.close()

    async def put(self, key: str, value: dict) -> None:
        """Write an item; it is acknowledged when this call returns."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "rev": self.revision, "lease": 0}
        known = self.items.get(key, {})
        item["created_rev"] = known.get("created_rev", self.revision)
        self.items[key] = item
        await self._publish(item)

    async def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        await self._publish({"key": key, "rev": self.revision, "compacted": True})

    async def compact(self) -> None:
        """Discard the history."""
        self.history.clear()
        self.compacted = self.revision
        async with self._changed:
            self._changed.notify_all()

    async def _publish(self, event: dict) -> None:
        self.history.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, name, reader, writer) -> None:
        try:
            while line := await reader.readline():
                await reader.readuntil(b"\r\n\r\n")
                target = urlsplit(line.split()[1].decode())
                query = {k: v[0] for k, v in parse_qs(target.query).items()}
                loop = asyncio.get_running_loop()
                self.calls.append((loop.time(), name, target.path))
                if name in self.silent:
                    await asyncio.sleep(3600)
                if name in self.refused:
                    status, body = 503, {}
                else:
                    status, body = await self._handle(target.path, query)
                await asyncio.sleep(self.delay_s)
                if name in self.silent:
                    await asyncio.sleep(3600)
                payload = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d Any\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(payload), payload)
                )
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _handle(self, path: str, query: dict) -> tuple[int, dict]:
        if path == "/v1/kv-watch":
            return await self._watch(int(query["after"]), int(query["wait_ms"]))
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"at_rev": self.revision}) if item else (404, {})
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
        page = [self.items[k] for k in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": page, "has_more": more, "at_rev": self.revision}

    async def _watch(self, after: int, wait_ms: int) -> tuple[int, dict]:
        if after < self.compacted:
            return 410, {}
        try:
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(lambda: self.revision > after)
        except TimeoutError:
            pass
        if after < self.compacted:
            return 410, {}
        events = [event for event in self.history if event["rev"] > after]
        return 200, {"events": events, "at_rev": self.revision}
