"""Client for the backend server on this node's host."""

from sassafraswinch.messages import Headers
from sassafraswinch_node.http_client import (
    MAX_IDLE_MS,
    MAX_RESPONSE_BYTES,
    HttpClient,
    HttpClientError as BackendError,
)
from sassafraswinch_node.http_response import HttpResponse as BackendResponse

__all__ = ["BackendResponse", "BackendClient", "BackendError"]


class BackendClient:
    """Sends each call to the backend server once, without retries.

    Args:
        ip: IP address of the backend server.
        port: port of the backend server.
        max_connections: maximum number of connections; further calls wait for one.
        max_response_bytes: maximum length of a response body.
        max_idle_ms: idle time after which a persistent connection is not reused.
    """

    def __init__(
        self,
        *,
        ip: str,
        port: int,
        max_connections: int,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        max_idle_ms: int = MAX_IDLE_MS,
    ):
        self._client = HttpClient(
            ip=ip,
            port=port,
            max_connections=max_connections,
            max_response_bytes=max_response_bytes,
            max_idle_ms=max_idle_ms,
        )

    async def call(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        timeout_ms: float,
    ) -> BackendResponse:
        """Send a call and return the complete response of the backend server.

        Cancellation closes the connection, which notifies the backend server.

        Raises:
            BackendError: there is no complete response; its verdict is NOT_RUN if
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
        """Close idle connections now, and busy ones after their responses."""
        await self._client.close()
