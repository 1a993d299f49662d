"""Supervision of background tasks: a failure is logged, and the task is started again.

Failure: one unforeseen value fails a task that serves all requests of a process only
indirectly. If the process ends with it, so do all requests that it has in flight; if
the task just stays away, the process serves on without its work, and nobody notices.
"""

import asyncio
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from sassafraswinch_node.logs import log_event

MIN_RESTART_DELAY_S = 0.1
"""Delay before a task that failed is started again."""

MAX_RESTART_DELAY_S = 2.0
"""Longest delay. Each failure doubles it, so that a fault that recurs at once takes no
processor time; the bound keeps the work of the task in time."""

STABLE_RUN_S = 10.0
"""Run time after which the next failure counts as the first one again."""

MAX_ERROR_CHARS = 300
"""Length of the logged error: it may contain the value that caused it."""

OWN_PACKAGES = "sassafraswinch"
"""Prefix of the modules in which a failure is located; it may surface in a library."""


class FailureLog:
    """Logs failures that nothing else handles: of tasks, callbacks and protocols.

    Attributes:
        failures: number of failures so far.
    """

    def __init__(self) -> None:
        self.failures = 0

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Become the exception handler of an event loop."""
        loop.set_exception_handler(self._handle_exception)

    def _handle_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        self.failures += 1
        error = context.get("exception")
        log_event(
            "task_failed",
            level="error",
            task=context.get("task_name") or context["message"][:MAX_ERROR_CHARS],
            error=_describe(error),
            place=_place_of(error),
            failures=self.failures,
        )


def report_failure(name: str, error: BaseException) -> None:
    """Report a failure to the exception handler of the running event loop.

    Args:
        name: name of the task or step that failed.
        error: the exception.
    """
    asyncio.get_running_loop().call_exception_handler(
        {"message": f"{name} failed", "exception": error, "task_name": name}
    )


def run_step(name: str, step: Callable[..., object], *arguments: object) -> None:
    """Run a step of a task; report its failure, so that the other steps run too."""
    try:
        step(*arguments)
    except Exception as error:
        report_failure(name, error)


async def run_supervised(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task, and again after each failure, until it ends or is cancelled.

    Args:
        name: name of the task.
        run: starts the task; called again after each failure.
    """
    loop = asyncio.get_running_loop()
    delay_s = MIN_RESTART_DELAY_S
    while True:
        started_s = loop.time()
        try:
            return await run()
        except asyncio.CancelledError as error:
            if asyncio.current_task().cancelling():
                raise
            # Something that the task awaited was cancelled, not the task.
            report_failure(name, error)
        except Exception as error:
            report_failure(name, error)
        if loop.time() - started_s >= STABLE_RUN_S:
            delay_s = MIN_RESTART_DELAY_S
        await asyncio.sleep(delay_s)
        delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)


def start_supervised(
    name: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> asyncio.Task[None]:
    """Start a task that is run again after each failure; see ``run_supervised``."""
    return asyncio.get_running_loop().create_task(run_supervised(name, run), name=name)


def _describe(error: BaseException | None) -> str:
    """Return the type and text of an exception, bounded."""
    if error is None:
        return ""
    try:
        return repr(error)[:MAX_ERROR_CHARS]
    except Exception:
        return type(error).__name__


def _place_of(error: BaseException | None) -> str:
    """Return module and line of an exception, the innermost of this program."""
    if error is None:
        return ""
    frames = [
        (frame.f_globals.get("__name__", ""), line)
        for frame, line in traceback.walk_tb(error.__traceback__)
    ]
    frames = [place for place in frames if place[0] != __name__]
    own = [place for place in frames if place[0].startswith(OWN_PACKAGES)]
    module, line = (own or frames or [("", 0)])[-1]
    return f"{module}:{line}"
