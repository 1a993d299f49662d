"""Dispatcher of started calls to the local backend server, one task for each call."""

import asyncio
from collections.abc import Callable

from sassafraswinch.messages import Call
from sassafraswinch.requests import BackendResult, CallKey
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_node.backend import BackendClient, BackendError
from sassafraswinch_node.supervision import report_failure

DEADLINE_HEADER = "x-deadline-ms"
TRACEPARENT_HEADER = "traceparent"


class Dispatcher:
    """The backend port of a node."""

    def __init__(
        self,
        *,
        client: BackendClient,
        done: Callable[[CallKey, BackendResult], None],
    ):
        self.client = client
        self.done = done
        self.tasks: dict[CallKey, asyncio.Task] = {}

    def dispatch(self, key: CallKey, call: Call, traceparent: str) -> None:
        """Start a task that sends ``call`` and passes its result to ``done``."""
        task = asyncio.get_running_loop().create_task(self._call(call, traceparent))
        self.tasks[key] = task
        task.add_done_callback(lambda ended_task: self._report_result(key, ended_task))

    def cancel(self, key: CallKey) -> None:
        """Close the connection of a call, which notifies the backend server."""
        task = self.tasks.get(key)
        if task is not None:
            task.cancel()

    def _report_result(self, key: CallKey, task: asyncio.Task) -> None:
        """Report the result of a task, also if it was cancelled before it ran."""
        del self.tasks[key]
        if task.cancelled():
            reason = Reason.CANCELLED
        elif task.exception() is not None:
            report_failure("dispatch", task.exception())
            reason = Reason.BACKEND_BROKEN
        else:
            self.done(key, task.result())
            return
        self.done(key, BackendResult(verdict=Verdict.MAY_HAVE_RUN, reason=reason))

    async def _call(self, call: Call, traceparent: str) -> BackendResult:
        headers = call.headers + (
            (TRACEPARENT_HEADER, traceparent),
            (DEADLINE_HEADER, str(call.remaining_ms)),
        )
        try:
            response = await self.client.call(
                method=call.method,
                target=call.target,
                headers=headers,
                body=call.body,
                timeout_ms=call.remaining_ms,
            )
        except BackendError as error:
            return BackendResult(verdict=error.verdict, reason=error.reason)
        return BackendResult(
            verdict=Verdict.ANSWERED,
            status=response.status,
            headers=response.headers,
            body=response.body,
        )
