"""Backend server stand-in: slots, service times, child calls and fault injection."""

import asyncio
from contextlib import suppress
from pathlib import Path

import defopt
import orjson

from sassafraswinch_standins.answers import RequestFields, make_answer, parse_request
from sassafraswinch_standins.asgi import (
    Receive,
    Send,
    read_body,
    respond,
    send_truncated,
    wait_disconnected,
)
from sassafraswinch_standins.backend_settings import (
    BackendControl,
    BackendSettings,
    Fault,
    OperationPlan,
    ReportMode,
)
from sassafraswinch_standins.clock import now_ms
from sassafraswinch_standins.onward import ChildCallClient
from sassafraswinch_standins.runs import Run, RunLog, RunState
from sassafraswinch_standins.serving import load_settings, serve
from sassafraswinch_standins.slots import (
    LaggingReports,
    Report,
    ServiceTime,
    Slots,
)

NOT_RUN = (b"x-not-run", b"1")
"""Header of the documented shed response: with status 503 it proves NOT_RUN."""


class Backend:
    """ASGI application of a backend server stand-in."""

    def __init__(self, *, settings: BackendSettings):
        self.settings = settings
        self.runs = RunLog(record=settings.record_runs)
        self.slots = Slots(slots=settings.slots, backlog=settings.backlog)
        self._service_time = ServiceTime(
            seed=settings.seed,
            cold_start_ms=settings.cold_start_ms,
            cold_factor=settings.cold_factor,
        )
        self._service_time.restart(now_ms())
        self._reports = LaggingReports(
            lag_ms=settings.report_lag_ms, observe=self._current_report
        )
        self._onward = ChildCallClient(settings=settings)
        self._plans = [(plan.pattern(), plan) for plan in settings.operations]
        self._management_handlers = {
            "/health": self._health,
            "/load": self._load,
            "/runs": self._runs,
            "/stats": self._stats,
            "/control": self._control,
        }
        self._draining = False
        self._fault = Fault.NONE
        self._report_mode = settings.honesty

    async def __call__(self, scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        body = await read_body(receive)
        handler = self._management_handlers.get(scope["path"])
        if handler is not None:
            await handler(body, send)
            return
        self._reports.tick(now_ms())
        plan = self._find_plan(scope["method"], scope["path"])
        if plan is None:
            await respond(send, 404, b"no such operation")
        elif self._draining or self.slots.full():
            self.runs.shed += 1
            await respond(send, 503, b"shed", NOT_RUN)
        else:
            await self._handle_call(plan, scope, body, receive, send)

    def _find_plan(self, method: str, path: str) -> OperationPlan | None:
        return next(
            (
                plan
                for pattern, plan in self._plans
                if plan.method == method and pattern.fullmatch(path)
            ),
            None,
        )

    async def _handle_call(self, plan, scope, body: bytes, receive, send) -> None:
        """Run a call until its response is sent or the caller disconnects."""
        headers = dict(scope["headers"])
        request = parse_request(query=scope["query_string"], body=body)
        request = request or RequestFields(request_id="", answer_bytes=len(body))
        waiter = self.slots.reserve_place()
        work = asyncio.create_task(self._process(plan, waiter, headers, request, send))
        disconnect = asyncio.create_task(wait_disconnected(receive))
        try:
            await asyncio.wait((work, disconnect), return_when=asyncio.FIRST_COMPLETED)
        finally:
            disconnect.cancel()
            work.cancel()
            with suppress(asyncio.CancelledError):
                await work

    async def _process(
        self,
        plan: OperationPlan,
        waiter: asyncio.Future[None],
        headers: dict[bytes, bytes],
        request: RequestFields,
        send: Send,
    ) -> None:
        deadline_ms = headers.get(b"x-deadline-ms")
        timeout_s = None if deadline_ms is None else float(deadline_ms) / 1000
        deadline_s = None if timeout_s is None else now_ms() / 1000 + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await self.slots.acquire(waiter)
        except TimeoutError:
            self.runs.shed += 1
            await respond(send, 503, b"deadline before start", NOT_RUN)
            return
        try:
            traceparent = headers.get(b"traceparent", b"").decode()
            run = self.runs.start(
                root_id=traceparent[3:35],
                operation=plan.name,
                request_id=request.request_id,
                now_ms=now_ms(),
            )
            state = await self._run(plan, run, traceparent, deadline_s)
            self.runs.finish(run, state, now_ms())
        finally:
            self.slots.release()
        await self._send_response(state, request, send)

    async def _run(
        self, plan: OperationPlan, run: Run, traceparent: str, deadline_s: float | None
    ) -> RunState:
        remaining_s = None if deadline_s is None else deadline_s - now_ms() / 1000
        try:
            async with asyncio.timeout(remaining_s):
                if self._fault is Fault.HANG:
                    await asyncio.Event().wait()
                return await self._run_operation(plan, run, traceparent)
        except TimeoutError:
            return RunState.DEADLINE
        except asyncio.CancelledError:
            self.runs.finish(run, RunState.CANCELLED, now_ms())
            raise

    async def _run_operation(
        self, plan: OperationPlan, run: Run, traceparent
    ) -> RunState:
        """Do half of the operation's own work, its child calls, then the other half."""
        time_ms = self._service_time.sample_ms(
            plan.service_time_ms, plan.sigma, now_ms()
        )
        if not plan.calls:
            await self._simulate_work(run, time_ms)
            return RunState.ANSWERED
        await self._simulate_work(run, time_ms / 2)
        if not self.settings.hold_slot_during_calls:
            self.slots.release()
        try:
            complete = await self._onward.make(plan, run, traceparent)
        finally:
            if not self.settings.hold_slot_during_calls:
                await self.slots.acquire()
        if not complete:
            return RunState.CHILD_FAILED
        await self._simulate_work(run, time_ms / 2)
        return RunState.ANSWERED

    async def _simulate_work(self, run: Run, time_ms: float) -> None:
        started_at_ms = now_ms()
        try:
            await asyncio.sleep(time_ms / 1000)
        finally:
            run.busy_ms += now_ms() - started_at_ms

    async def _send_response(
        self, state: RunState, request: RequestFields, send
    ) -> None:
        if state is RunState.CHILD_FAILED:
            await respond(send, 502, b"child call failed")
        elif state is RunState.DEADLINE:
            await respond(send, 504, b"deadline while running")
        elif self._fault is Fault.ERROR:
            await respond(send, 500, b"fault on demand")
        else:
            answer = make_answer(request, server=self.settings.name)
            if self._fault is Fault.CUT:
                await send_truncated(send, answer)
                return
            await respond(send, 200, answer)

    def _current_report(self) -> Report:
        return Report(
            at_ms=now_ms(),
            in_flight=self.slots.in_flight,
            slots=self.slots.slots,
            draining=self._draining,
        )

    async def _served_report(self) -> Report:
        if self._report_mode is ReportMode.HANGING:
            await asyncio.Event().wait()
        if self._report_mode is ReportMode.MISLEADING:
            return Report(
                at_ms=now_ms(), in_flight=0, slots=self.slots.slots, draining=False
            )
        return self._reports.read(now_ms())

    async def _health(self, _body: bytes, send: Send) -> None:
        report = await self._served_report()
        status, text = (503, b"draining") if report.draining else (200, b"ok")
        await respond(send, status, text)

    async def _load(self, _body: bytes, send: Send) -> None:
        report = await self._served_report()
        load = {"in_flight": report.in_flight, "slots": report.slots}
        await respond(send, 200, orjson.dumps(load))

    async def _runs(self, _body: bytes, send: Send) -> None:
        await respond(send, 200, orjson.dumps(self.runs.report()))

    async def _stats(self, _body: bytes, send: Send) -> None:
        stats = {
            "running": self.slots.running,
            "in_flight": self.slots.in_flight,
            "started": self.runs.started,
            "answered": self.runs.answered,
            "shed": self.runs.shed,
        }
        await respond(send, 200, orjson.dumps(stats))

    async def _control(self, body: bytes, send: Send) -> None:
        control = BackendControl.model_validate_json(body)
        if control.slow_factor is not None:
            self._service_time.slow_factor = control.slow_factor
        if control.drain is not None:
            self._draining = control.drain
        if control.fault is not None:
            self._fault = control.fault
        if control.honesty is not None:
            self._report_mode = control.honesty
        if control.slots is not None:
            self.slots.slots = control.slots
            self.slots.wake()
        if control.cold_start:
            self._service_time.restart(now_ms())
        if control.forget_runs:
            self.runs.runs.clear()
        await respond(send, 200, orjson.dumps(control.model_dump(mode="json")))


def main(*, settings: Path) -> None:
    """Run the backend server stand-in.

    Args:
        settings: YAML file with the fields of ``BackendSettings``.
    """
    loaded = load_settings(BackendSettings, settings)
    asyncio.run(serve(Backend(settings=loaded), listen=loaded.listen))


if __name__ == "__main__":
    defopt.run(main)
