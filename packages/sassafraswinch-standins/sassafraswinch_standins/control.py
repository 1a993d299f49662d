"""Blocking HTTP towards control endpoints and nodes, for tests and the bench."""

import http.client
from collections.abc import Mapping
from typing import Any

import orjson

from sassafraswinch_standins.serving import parse_address

HTTP_TIMEOUT_S = 10.0
"""Longest wait for an answer of a control endpoint, in seconds."""

PROBE_TIMEOUT_S = 2.0
"""Longest wait for the answer to a probe, in seconds."""


def call_json(address: str, path: str, order: Mapping[str, Any] | None = None) -> Any:
    """Ask a control endpoint: GET, or POST when there is an order."""
    host, port = parse_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=HTTP_TIMEOUT_S)
    try:
        body = None if order is None else orjson.dumps(order)
        connection.request("GET" if order is None else "POST", path, body)
        return orjson.loads(connection.getresponse().read())
    finally:
        connection.close()


def answers_probe(entry: str, service: str) -> bool:
    """Whether a service answers through a node's entry."""
    address, port = parse_address(entry)
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
