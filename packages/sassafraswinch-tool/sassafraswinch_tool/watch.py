"""A live view of nodes that is drawn again and again."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import TextIO

from sassafraswinch_node.settings import Address
from sassafraswinch_tool import porcelain
from sassafraswinch_tool.burn_text import render_burn
from sassafraswinch_tool.status_text import render_list_error, render_statuses

CLEAR = "\x1b[H\x1b[J"
"""Moves a terminal's cursor to the top left and clears all below."""

SERIES_SHOWN = 12
"""Series that burn fastest; more would push the nodes off the screen."""

SHORTEST_INTERVAL_MS = 100
"""Two views a second are more than an eye follows; nodes needn't pay for ten."""


@dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """What one round showed."""

    lines: list[str]
    complete: bool
    """Whether the platform and all nodes answered."""


class FleetWatch:
    """Takes views of the nodes that are given and of those that a platform lists."""

    def __init__(
        self, *, texts: Sequence[str], platform_url: str | None, timeout_ms: float
    ):
        self._texts = texts
        self._platform_url = platform_url
        self._timeout_ms = timeout_ms
        self._last: list[Address] = []

    async def take(self) -> View:
        """Ask all nodes once for status and burn.

        Failure: the platform is down just when the operators watch for the effects
        of that. The last list that it gave serves on, and the view says so.
        """
        nodes = await porcelain.find_nodes(
            self._texts, platform_url=self._platform_url, timeout_ms=self._timeout_ms
        )
        addresses = nodes.addresses
        if nodes.list_error:
            addresses = list(dict.fromkeys([*addresses, *self._last]))
        self._last = addresses
        replies, fleet = await asyncio.gather(
            porcelain.status(addresses, timeout_ms=self._timeout_ms),
            porcelain.burn(addresses, timeout_ms=self._timeout_ms),
        )
        lines = [
            *render_list_error(nodes),
            *render_statuses(replies, details=False),
            "",
            *render_burn(fleet.report, most=SERIES_SHOWN),
        ]
        unanswered = any(reply.said is None for reply in replies)
        return View(lines=lines, complete=not (unanswered or nodes.list_error))


async def watch(
    take: Callable[[], Awaitable[View]],
    *,
    stream: TextIO,
    count: int | None,
    interval_ms: float,
) -> View:
    """Draw views until ``count`` is reached or the task is cancelled.

    Args:
        take: takes one view.
        stream: cleared before each view if it is a terminal.
        count: views to draw; None for no end.
        interval_ms: from the end of one view to the start of the next.

    Returns:
        The last view.

    Raises:
        ValueError: ``count`` or ``interval_ms`` is too small.
    """
    if count is not None and count < 1:
        raise ValueError(f"count is {count}; at least 1 is needed")
    if interval_ms < SHORTEST_INTERVAL_MS:
        raise ValueError(f"an interval is at least {SHORTEST_INTERVAL_MS} ms")
    rounds = itertools.count(1) if count is None else range(1, count + 1)
    for number in rounds:
        view = await take()
        head = CLEAR if stream.isatty() else "\n" * (number > 1)
        print(head + "\n".join(view.lines), file=stream, flush=True)
        if number != count:
            await asyncio.sleep(interval_ms / 1000)
    return view
