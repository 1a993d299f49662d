"""Live view of nodes, refreshed at an interval."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import TextIO

from sassafraswinch_node.settings import Address
from sassafraswinch_tool import porcelain
from sassafraswinch_tool.burn_text import render_burn
from sassafraswinch_tool.status_text import render_host_list_error, render_statuses

CLEAR = "\x1b[H\x1b[J"
"""Escape sequence that moves the cursor to the top left and clears the screen."""

MAX_SERIES_SHOWN = 12
"""Number of series with the highest burn rates; more would push the node table
off the screen."""

MIN_INTERVAL_MS = 100
"""Limits the load of requests on the nodes to 10 views per second; an operator cannot
follow even 2 per second."""


@dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """One rendered refresh of the live view."""

    lines: list[str]
    complete: bool
    """Whether the platform, if one was given, and all nodes responded."""


class FleetWatch:
    """Source of views of the given nodes and of the nodes that a platform lists."""

    def __init__(
        self,
        *,
        address_texts: Sequence[str],
        platform_url: str | None,
        timeout_ms: float,
    ):
        self._address_texts = address_texts
        self._platform_url = platform_url
        self._timeout_ms = timeout_ms
        self._last_addresses: list[Address] = []

    async def fetch_view(self) -> View:
        """Fetch status and burn report of all nodes, and render them.

        If the platform's list of hosts can't be fetched, the nodes of the previous
        view are shown again, together with the error, because operators need the
        view most during an outage of the platform.
        """
        nodes = await porcelain.find_nodes(
            self._address_texts,
            platform_url=self._platform_url,
            timeout_ms=self._timeout_ms,
        )
        addresses = nodes.addresses
        if nodes.host_list_error:
            addresses = list(dict.fromkeys([*addresses, *self._last_addresses]))
        self._last_addresses = addresses
        replies, fleet = await asyncio.gather(
            porcelain.status(addresses, timeout_ms=self._timeout_ms),
            porcelain.burn(addresses, timeout_ms=self._timeout_ms),
        )
        lines = [
            *render_host_list_error(nodes),
            *render_statuses(replies, details=False),
            "",
            *render_burn(fleet.report, max_series=MAX_SERIES_SHOWN),
        ]
        unanswered = any(reply.result is None for reply in replies)
        return View(lines=lines, complete=not (unanswered or nodes.host_list_error))


async def watch(
    fetch_view: Callable[[], Awaitable[View]],
    *,
    stream: TextIO,
    count: int | None,
    interval_ms: float,
) -> View:
    """Write views to a stream until ``count`` is reached or the task is cancelled.

    Args:
        fetch_view: Fetches and renders one view.
        stream: Output stream; if it is a terminal, it is cleared before each view.
        count: Number of views to write; None for no limit.
        interval_ms: Time from the end of one view to the start of the next.

    Returns:
        The last view.

    Raises:
        ValueError: ``count`` or ``interval_ms`` is too small.
    """
    if count is not None and count < 1:
        raise ValueError(f"count is {count}, but must be at least 1")
    if interval_ms < MIN_INTERVAL_MS:
        raise ValueError(f"interval must be at least {MIN_INTERVAL_MS} ms")
    numbers = itertools.count(1) if count is None else range(1, count + 1)
    for number in numbers:
        view = await fetch_view()
        prefix = CLEAR if stream.isatty() else "\n" * (number > 1)
        print(prefix + "\n".join(view.lines), file=stream, flush=True)
        if number != count:
            await asyncio.sleep(interval_ms / 1000)
    return view
