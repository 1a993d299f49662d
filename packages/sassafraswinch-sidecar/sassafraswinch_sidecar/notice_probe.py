"""Health check that asks the local backend server for its notice."""

import asyncio
from collections.abc import Callable

from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.http_client import (
    Exchange,
    Fault,
    HttpClient,
    HttpResponse,
)

PROBE_TIMEOUT_S = 10.0
"""Time limit of the health check, which may wait for a slot of the server. Responses
to requests show the notice as well."""

OnAnswer = Callable[[str, HttpResponse], None]
"""Receives the instance id in a response, and the response."""


class NoticeProbe:
    """Sends the server one health check when this process has started.

    Failure: a process that has just started doesn't know whether its server has named a
    rate limit. If it held requests back until the first of them is answered, the fleet
    would lose a tenth of a second after a power failure, and the child calls that are
    refused meanwhile fail their root requests. The result of the check says nothing
    about the server's health; only the fields are used.

    Args:
        client: connections to the server.
        names: header names of the deployment.
        on_answer: called with the response.
    """

    def __init__(self, *, client: HttpClient, names: HeaderNames, on_answer: OnAnswer):
        self._client = client
        self._instance_name = names.actual_instance.lower()
        self._request_id_name = names.request_id.lower()
        self._on_answer = on_answer
        self._is_sent = False
        self._timer: asyncio.TimerHandle | None = None

    def send(self, path: str, host: str) -> None:
        """Send the health check, unless it was sent before.

        Args:
            path: path of the server's health check.
            host: value of the ``Host`` field.
        """
        if self._is_sent:
            return
        self._is_sent = True
        payload = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        exchange = Exchange(payload, b"GET", self._is_health_response, self._handle_end)
        self._client.send(exchange)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(PROBE_TIMEOUT_S, self._client.cancel, exchange)

    def _is_health_response(self, response: HttpResponse) -> bool:
        """Return whether a response is a health check's, which carries no request id.

        A second copy of the rejection of a request names the instance as well.
        """
        names = {lowered for lowered, *_ in response.fields}
        return self._instance_name in names and self._request_id_name not in names

    def _handle_end(self, exchange: Exchange, end: HttpResponse | Fault) -> None:
        self._timer.cancel()
        if not isinstance(end, HttpResponse):
            return  # The first response to a request shows the notice as well.
        instance_id = next(
            value.decode("latin-1")
            for lowered, _, value in end.fields
            if lowered == self._instance_name
        )
        self._on_answer(instance_id, end)
