"""Calls to the backend server of this node's host."""

from sassafraswinch.messages import Headers
from sassafraswinch_node.http_answer import HttpAnswer as BackendAnswer
from sassafraswinch_node.http_client import (
    MAX_ANSWER_BYTES,
    MAX_IDLE_MS,
    HttpClient,
    HttpClientError as BackendError,
)

__all__ = ["BackendAnswer", "BackendClient", "BackendError"]


class BackendClient:
    """Sends each call once to the backend server; never sends one again.

    Args:
        ip: IP number of the backend server.
        port: its port.
        max_connections: most connections to it; further calls wait for one.
        max_answer_bytes: longest body of an answer.
        max_idle_ms: idle time after which a kept connection isn't used again.
    """

    def __init__(
        self,
        *,
        ip: str,
        port: int,
        max_connections: int,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_idle_ms: int = MAX_IDLE_MS,
    ):
        self._client = HttpClient(
            ip=ip,
            port=port,
            max_connections=max_connections,
            max_answer_bytes=max_answer_bytes,
            max_idle_ms=max_idle_ms,
        )

    async def call(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        timeout_ms: float,
    ) -> BackendAnswer:
        """Send a call and return the whole answer of the backend server.

        Cancelling closes the connection: so the backend server is told.

        Raises:
            BackendError: there is no whole answer; its verdict is NOT_RUN if
                nothing was written to the backend server, else MAY_HAVE_RUN.
        """
        return await self._client.request(
            method=method,
            target=target,
            headers=headers,
            body=body,
            timeout_ms=timeout_ms,
        )

    async def close(self) -> None:
        """Close idle connections now, and busy ones after their answers."""
        await self._client.close()
