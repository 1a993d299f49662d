"""Caller stand-in: open-loop load generator that retries and checks each response."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import defopt
import orjson

from sassafraswinch.verdict import Verdict
from sassafraswinch_standins.answers import (
    RequestFields,
    serialize_request,
)
from sassafraswinch_standins.arrivals import arrivals_ms
from sassafraswinch_standins.attempts import TICKET_HEADER, AttemptResult, read_answer
from sassafraswinch_standins.caller_settings import (
    CallerSettings,
    RetryMode,
    Traffic,
)
from sassafraswinch_standins.clock import now_ms
from sassafraswinch_standins.http_client import ExchangeError, HttpAnswer, HttpClient
from sassafraswinch_standins.serving import load_settings
from sassafraswinch_standins.tally import SERIES_INTERVAL_MS, Outcome, Tally
from sassafraswinch_standins.ticket_cache import CachedTicket, TicketCache

MAX_TICKET_TRIPS = 3
"""Maximum number of resends after a 428 response; one more 428 ends the request."""


@dataclass(slots=True, kw_only=True)
class PendingRequest:
    """A request in progress, over all of its attempts."""

    key: str
    traffic: Traffic
    tally: Tally
    scheduled_at_ms: float
    ingress: str
    ticket: CachedTicket | None = None
    generation: int = 0
    """Incremented when a retry uses a new request id."""
    retry_count: int = 0
    ticket_trips: int = 0
    hinted: bool = False

    @property
    def request_id(self) -> str:
        """Request id of the current attempt."""
        return f"{self.key}.{self.generation}"


@dataclass(slots=True, kw_only=True)
class RequestIds:
    """Request ids by the last outcome that the caller observed for each."""

    good: list[str] = field(default_factory=list)
    not_run: dict[str, str] = field(default_factory=dict)
    """Maps each request id to the reason from the node."""
    may_have_run: dict[str, str] = field(default_factory=dict)


class Caller:
    """Generates the load of its settings once and reports the results."""

    def __init__(self, *, settings: CallerSettings):
        self.settings = settings
        self.ids = RequestIds()
        self.tallies = {
            traffic.name: Tally(class_name=traffic.class_name, service=traffic.service)
            for traffic in settings.traffic
        }
        self._rng = random.Random(settings.seed)
        self._client = HttpClient()
        self._tickets = TicketCache(max_age_ms=settings.ticket_max_age_ms)
        self._started_at_ms = 0.0
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> dict[str, Any]:
        """Generate the load, wait for the last request and return the report."""
        settings = self.settings
        self._started_at_ms = settings.start_at_ms or now_ms()
        numbers = itertools.count(1)
        weights = [traffic.weight for traffic in settings.traffic]
        for at_ms in arrivals_ms(
            settings.phases, duration_ms=settings.duration_ms, rng=self._rng
        ):
            (traffic,) = self._rng.choices(settings.traffic, weights)
            wait_ms = self._started_at_ms + at_ms - now_ms()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / 1000)
            self._offer(traffic, next(numbers), at_ms)
        if self._tasks:
            await asyncio.wait(self._tasks)
        self._client.close()
        return self.report()

    def report(self) -> dict[str, Any]:
        """Return all results as JSON-serializable data."""
        ended_at_ms = now_ms()
        intervals = int((ended_at_ms - self._started_at_ms) // SERIES_INTERVAL_MS) + 1
        return {
            "name": self.settings.name,
            "started_at_ms": self._started_at_ms,
            "ended_at_ms": ended_at_ms,
            "traffic": {
                name: tally.report(intervals) for name, tally in self.tallies.items()
            },
            "ids": {
                "good": self.ids.good,
                "not_run": self.ids.not_run,
                "may_have_run": self.ids.may_have_run,
            },
        }

    def _offer(self, traffic: Traffic, number: int, at_ms: float) -> None:
        tally = self.tallies[traffic.name]
        tally.record_request(at_ms)
        if len(self._tasks) >= self.settings.max_in_flight:
            tally.dropped += 1
            return
        pending = PendingRequest(
            key=f"{self.settings.name}:{traffic.name}:{number}",
            traffic=traffic,
            tally=tally,
            scheduled_at_ms=self._started_at_ms + at_ms,
            ingress=self._rng.choice(self.settings.entries),
        )
        task = asyncio.create_task(self._request(pending))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, pending: PendingRequest) -> None:
        """Attempt a request until it succeeds or is abandoned."""
        while True:
            result = await self._attempt(pending)
            pause_ms = self._next_pause_ms(pending, result)
            if pause_ms is None:
                self._end(pending, result)
                return
            if pause_ms > 0:
                await asyncio.sleep(pause_ms / 1000)

    async def _attempt(self, pending: PendingRequest) -> AttemptResult:
        traffic = pending.traffic
        if traffic.non_repeatable and pending.ticket is None:
            pending.ticket = self._tickets.pop(traffic, now_ms())
            if pending.ticket is not None:
                pending.ingress = pending.ticket.entry
        left_ms = pending.scheduled_at_ms + traffic.patience_ms - now_ms()
        try:
            answer = await self._send(pending, max(1.0, left_ms))
        except ExchangeError as error:
            not_sent = error.verdict is Verdict.NOT_RUN
            result = AttemptResult(
                outcome=Outcome.UNREACHABLE if not_sent else Outcome.MAY_HAVE_RUN,
                reason="connect" if not_sent else "broken-connection",
            )
        except TimeoutError:
            result = AttemptResult(
                outcome=Outcome.MAY_HAVE_RUN, reason="caller-timeout"
            )
        else:
            result = read_answer(answer, request_id=pending.request_id)
        pending.tally.record_attempt(
            result.outcome, result.reason, now_ms() - self._started_at_ms
        )
        self._record_result(pending, result)
        return result

    async def _send(self, pending: PendingRequest, timeout_ms: float) -> HttpAnswer:
        traffic, settings = pending.traffic, self.settings
        prefix = "" if settings.direct else f"/{traffic.service}"
        segment = pending.key.replace(":", "-")
        target, body = serialize_request(
            RequestFields(
                request_id=pending.request_id, answer_bytes=traffic.answer_bytes
            ),
            method=traffic.method,
            path=prefix + traffic.path.replace("{id}", segment),
        )
        headers = [(settings.caller_header, traffic.caller_id)]
        if traffic.organisation_id is not None:
            headers.append((settings.organisation_header, traffic.organisation_id))
        if pending.ticket is not None:
            headers.append((TICKET_HEADER, pending.ticket.text))
        return await self._client.request(
            address=pending.ingress,
            method=traffic.method,
            target=target,
            headers=headers,
            body=body,
            timeout_ms=timeout_ms,
        )

    def _record_result(self, pending: PendingRequest, result: AttemptResult) -> None:
        """Store the ticket and the outcome of an attempt."""
        if result.outcome is Outcome.GOOD:
            pending.tally.hinted_good += pending.hinted
            self.ids.good.append(pending.request_id)
        elif result.outcome is Outcome.NOT_RUN:
            self.ids.not_run[pending.request_id] = result.reason or "backend-shed"
        if result.ticket is not None:
            ticket = CachedTicket(
                text=result.ticket, entry=pending.ingress, stored_at_ms=now_ms()
            )
            if result.outcome is Outcome.TICKET_NEEDED:
                pending.ticket = ticket
            else:
                self._tickets.put(pending.traffic, ticket)

    def _next_pause_ms(
        self, pending: PendingRequest, result: AttemptResult
    ) -> float | None:
        """Prepare a retry and return the pause before it; None ends the request."""
        retries = self.settings.retries
        left_ms = pending.scheduled_at_ms + pending.traffic.patience_ms - now_ms()
        if result.outcome in (Outcome.GOOD, Outcome.WRONG) or left_ms <= 0:
            return None
        if result.outcome is Outcome.TICKET_NEEDED:
            pending.ticket_trips += 1
            return 0.0 if pending.ticket_trips <= MAX_TICKET_TRIPS else None
        non_repeatable = pending.traffic.non_repeatable
        if result.outcome is Outcome.FAILED and non_repeatable:
            return None
        if pending.retry_count >= retries.limit:
            return None
        pending.retry_count += 1
        pending.ingress = self._rng.choice(self.settings.entries)
        if result.outcome is Outcome.NOT_RUN or not non_repeatable:
            # A non-repeatable action gets a new ticket and id only after NOT_RUN.
            # After any other outcome the retry reuses both: an earlier attempt with
            # this id may have run, even if the last one reached no node.
            pending.generation += 1
            pending.ticket = None
        pending.hinted = (
            retries.mode is RetryMode.HONOUR and result.retry_after_ms is not None
        )
        pending.tally.hinted_repeats += pending.hinted
        pause_ms = result.retry_after_ms if pending.hinted else retries.pause_ms
        return pause_ms if pause_ms < left_ms else None

    def _end(self, pending: PendingRequest, result: AttemptResult) -> None:
        ended_at_ms = now_ms()
        if result.outcome is Outcome.MAY_HAVE_RUN:
            self.ids.may_have_run[pending.request_id] = result.reason or "unknown"
        pending.tally.record_outcome(
            result.outcome,
            at_ms=ended_at_ms - self._started_at_ms,
            latency_ms=ended_at_ms - pending.scheduled_at_ms,
            objective_ms=pending.traffic.objective_ms,
        )


async def run(settings: CallerSettings) -> None:
    """Run a caller stand-in and write or print its report."""
    report = orjson.dumps(await Caller(settings=settings).run())
    if settings.report is None:
        print(report.decode(), flush=True)
    else:
        Path(settings.report).write_bytes(report)


def main(*, settings: Path) -> None:
    """Run the caller stand-in from the command line.

    Args:
        settings: YAML file with the fields of ``CallerSettings``.
    """
    asyncio.run(run(load_settings(CallerSettings, settings)))


if __name__ == "__main__":
    defopt.run(main)
