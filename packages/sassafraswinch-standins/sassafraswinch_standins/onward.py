"""Child calls of a backend server stand-in, through the egress of its node."""

import asyncio

from sassafraswinch_standins.answers import (
    RequestFields,
    check_answer,
    serialize_request,
)
from sassafraswinch_standins.backend_settings import (
    BackendSettings,
    ChildCall,
    OperationPlan,
    Order,
)
from sassafraswinch_standins.http_client import ExchangeError, HttpClient
from sassafraswinch_standins.runs import Run


class ChildCallClient:
    """Makes the child calls of operations and passes ``traceparent`` on to each."""

    def __init__(self, *, settings: BackendSettings):
        self._egress = settings.egress
        self._timeout_ms = settings.child_timeout_ms
        self._client = HttpClient()

    async def make(self, plan: OperationPlan, run: Run, traceparent: str) -> bool:
        """Make all child calls of an operation.

        Returns:
            Whether each child call got a complete response.
        """
        calls = list(enumerate(plan.calls))
        if plan.order is Order.PARALLEL:
            return all(
                await asyncio.gather(
                    *(
                        self._make_child_call(
                            c, f"{run.request_id}/{i}", run, traceparent
                        )
                        for i, c in calls
                    )
                )
            )
        for index, call in calls:
            child_id = f"{run.request_id}/{index}"
            if not await self._make_child_call(call, child_id, run, traceparent):
                return False
        return True

    async def _make_child_call(
        self, call: ChildCall, child_id: str, run: Run, traceparent: str
    ) -> bool:
        """Make a child call and retry it as often as its settings say."""
        for _ in range(call.repeats + 1):
            run.child_attempts += 1
            if await self._attempt(call, child_id, traceparent):
                return True
        return False

    async def _attempt(self, call: ChildCall, child_id: str, traceparent: str) -> bool:
        path = f"/{call.service}{call.path.replace('{id}', child_id.replace('/', '-'))}"
        target, body = serialize_request(
            RequestFields(request_id=child_id, answer_bytes=call.answer_bytes),
            method=call.method,
            path=path,
        )
        try:
            answer = await self._client.request(
                address=self._egress,
                method=call.method,
                target=target,
                headers=[("traceparent", traceparent)] if traceparent else [],
                body=body,
                timeout_ms=self._timeout_ms,
            )
        except (ExchangeError, TimeoutError):
            return False
        return answer.status == 200 and (
            check_answer(answer.body, request_id=child_id) is None
        )
