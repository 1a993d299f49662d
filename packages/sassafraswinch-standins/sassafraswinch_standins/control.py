"""Blocking HTTP client for control endpoints and nodes, for tests and benchmarks."""

import http.client
from collections.abc import Mapping
from typing import Any

import orjson

from sassafraswinch_standins.serving import parse_address

HTTP_TIMEOUT_S = 10.0
"""Timeout of a request to a control endpoint, in seconds."""

PROBE_TIMEOUT_S = 2.0
"""Timeout of a probe, in seconds."""


def call_json(address: str, path: str, message: Mapping[str, Any] | None = None) -> Any:
    """Send a GET, or a POST if ``message`` is given, and return the decoded JSON."""
    host, port = parse_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=HTTP_TIMEOUT_S)
    try:
        body = None if message is None else orjson.dumps(message)
        connection.request("GET" if message is None else "POST", path, body)
        return orjson.loads(connection.getresponse().read())
    finally:
        connection.close()


def answers_probe(ingress: str, service: str) -> bool:
    """Return whether a service responds with 200 through the ingress of a node."""
    address, port = parse_address(ingress)
    connection = http.client.HTTPConnection(address, port, timeout=PROBE_TIMEOUT_S)
    headers = {"x-caller-id": "trial-buyer", "x-organisation-id": "prospect"}
    try:
        target = f"/{service}/probe?id=probe&answer_bytes=1"
        connection.request("GET", target, headers=headers)
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()
