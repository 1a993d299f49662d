"""Stand-in for the platform's store, with outages and restores on demand."""

import asyncio
import base64
import contextlib
import json
from collections import deque
from urllib.parse import parse_qs, urlsplit

MAX_WATCH_EVENTS = 200
"""Number of changes kept for watches."""

MAX_RESTORE_COPIES = 400
"""Number of copies kept for restores, one after each change."""


class StoreStandIn:
    """Key-value store with one revision counter and long-polling watches.

    Attributes:
        items: current items by key.
        revision: revision of the latest change.
        outage: current outage, or "": "busy" (status 503), "many" (status 429),
            "reset" (connections are closed) or "silent" (calls get no response).
        delay_s: delay of each response.
        era: 1, plus the number of restores from older copies.
        written: value last written to each key, including writes lost in a restore;
            None if the key was removed.
    """

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.revision = 1
        self.outage = ""
        self.delay_s = 0.0
        self.era = 1
        self.written: dict[str, dict | None] = {}
        self._copies: deque[tuple[float, dict[str, dict], int]] = deque(
            maxlen=MAX_RESTORE_COPIES
        )
        self._history: deque[dict] = deque(maxlen=MAX_WATCH_EVENTS)
        self._compacted_revision = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def open(self, ip: str) -> str:
        """Start listening; return the address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        return f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        self._server.close()

    async def put(self, key: str, value: dict) -> None:
        """Write an item; the write is acknowledged when this call returns."""
        self.written[key] = value
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        previous = self.items.get(key, {})
        item = {"key": key, "value": text, "rev": self.revision, "lease": 0}
        item["created_rev"] = previous.get("created_rev", self.revision)
        self.items[key] = item
        await self._publish_event(item)

    async def put_foreign(self, key: str, text: str, changes: dict) -> None:
        """Write an item of another writer.

        Args:
            key: key of the item.
            text: its value.
            changes: fields that replace those that the store would give it.
        """
        self.revision += 1
        value = base64.b64encode(text.encode()).decode()
        item = {"key": key, "value": value, "rev": self.revision, "lease": 0} | changes
        self.items[item["key"]] = item
        await self._publish_event(item)

    async def remove(self, key: str) -> None:
        self.written[key] = None
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        await self._publish_event({"key": key, "rev": self.revision, "compacted": True})

    async def discard_watch_history(self) -> None:
        """Discard the change history; watches from earlier revisions get status 410."""
        self._history.clear()
        self._compacted_revision = self.revision
        await self._notify_watches()

    async def restore(self, age_s: float) -> None:
        """Restore from a copy of the given age; later writes are lost."""
        latest_s = asyncio.get_running_loop().time() - age_s
        while len(self._copies) > 1 and self._copies[-1][0] > latest_s:
            self._copies.pop()
        _, items, self.revision = self._copies[-1]
        self.items = dict(items)
        self.era += 1
        self._history = deque(
            (event for event in self._history if event["rev"] <= self.revision),
            maxlen=MAX_WATCH_EVENTS,
        )
        await self._notify_watches()

    async def rewrite_lost_items(self) -> None:
        """Repeat the writes that were lost in a restore."""
        for key, value in tuple(self.written.items()):
            if value is None:
                await self.remove(key)
            elif key not in self.items or _decode_value(self.items[key]) != value:
                await self.put(key, value)

    async def set_outage(self, outage: str) -> None:
        self.outage = outage
        await self._notify_watches()

    async def _publish_event(self, event: dict) -> None:
        if len(self._history) == MAX_WATCH_EVENTS:
            self._compacted_revision = self._history[0]["rev"]
        self._history.append(event)
        now_s = asyncio.get_running_loop().time()
        self._copies.append((now_s, dict(self.items), self.revision))
        await self._notify_watches()

    async def _notify_watches(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer) -> None:
        try:
            while line := await reader.readline():
                await reader.readuntil(b"\r\n\r\n")
                target = urlsplit(line.split()[1].decode())
                query = {k: v[0] for k, v in parse_qs(target.query).items()}
                status, body = await self._handle(target.path, query)
                if status is None:
                    break
                payload = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d Any\r\nContent-Type: application/json\r\n"
                    b"Store-Era: %d\r\nContent-Length: %d\r\n\r\n%b"
                    % (status, self.era, len(payload), payload)
                )
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The sidecar was killed, its connection was reset, or the soak has ended.
            pass
        finally:
            writer.transport.abort()

    async def _handle(self, path: str, query: dict) -> tuple[int | None, dict]:
        await asyncio.sleep(self.delay_s)
        outage_response = await self._outage_response()
        if outage_response is not None:
            return outage_response
        if path == "/v1/kv-watch":
            return await self._watch(int(query["after"]), int(query["wait_ms"]))
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"at_rev": self.revision}) if item else (404, {})
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        matches = [self.items[k] for k in sorted(self.items) if k.startswith(prefix)]
        page = [item for item in matches if item["key"] > after][:10]
        has_more = bool(page) and page[-1] is not matches[-1]
        return 200, {"items": page, "has_more": has_more, "at_rev": self.revision}

    async def _outage_response(self) -> tuple[int | None, dict] | None:
        if self.outage == "silent":
            async with self._changed:
                await self._changed.wait_for(lambda: self.outage != "silent")
        responses = {"busy": (503, {}), "many": (429, {}), "reset": (None, {})}
        return responses.get(self.outage)

    async def _watch(self, after: int, wait_ms: int) -> tuple[int | None, dict]:
        era = self.era

        def is_over() -> bool:
            return bool(self.outage) or self.era > era or self.revision > after

        if after > self.revision:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(is_over)
        if self.outage or self.era > era:
            return None, {}
        if after < self._compacted_revision:
            return 410, {}
        events = [event for event in self._history if event["rev"] > after]
        return 200, {"events": events, "at_rev": self.revision}


def _decode_value(item: dict) -> dict:
    return json.loads(base64.b64decode(item["value"]))
