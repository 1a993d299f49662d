"""Stand-in of the platform's store: reads, pages and watches, as PROTOCOL.md says."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from .messages import read_message, serialize_response

PAGE_ITEMS = 50
JSON_TYPE = {"Content-Type": "application/json"}


class Store:
    """Items with one revision counter that starts above 0."""

    def __init__(self):
        self.address = ""
        self._revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def open(self, ip: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def put(self, key: str, value: dict) -> None:
        """Write an item; the return is the ack."""
        self._revision += 1
        created = self._items.get(key, {}).get("created_rev", self._revision)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "rev": self._revision,
            "created_rev": created,
            "lease": 0,
        }
        self._events.append(self._items[key])
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                target = urlsplit(request.first_line[1])
                query = {name: each[0] for name, each in parse_qs(target.query).items()}
                status, content = await self._answer(target.path, query)
                body = json.dumps(content).encode()
                writer.write(serialize_response(status, JSON_TYPE, body))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        if path == "/v1/kv-key":
            item = self._items.get(query["key"])
            return (404, {}) if item is None else (200, self._with_revision(item))
        if path == "/v1/kv-range":
            return 200, self._page(query.get("path_prefix", ""), query.get("after", ""))
        if path == "/v1/kv-watch":
            return 200, await self._watch(query)
        return 404, {}

    def _page(self, prefix: str, after: str) -> dict:
        keys = [each for each in sorted(self._items) if each.startswith(prefix)]
        keys = [each for each in keys if each > after]
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return self._with_revision({"items": items, "has_more": len(keys) > PAGE_ITEMS})

    async def _watch(self, query: dict[str, str]) -> dict:
        after, prefix = int(query["after"]), query.get("path_prefix", "")

        def events() -> list[dict]:
            newer = (each for each in self._events if each["rev"] > after)
            return [each for each in newer if each["key"].startswith(prefix)]

        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self._changed:
                await self._changed.wait_for(events)
        except TimeoutError:
            pass
        return self._with_revision({"events": events()})

    def _with_revision(self, content: dict) -> dict:
        return {**content, "at_rev": self._revision}
