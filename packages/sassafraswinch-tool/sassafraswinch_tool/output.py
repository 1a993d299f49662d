"""Results of commands on stdout and faults on stderr."""

import json
import sys
from collections.abc import Iterable

from sassafraswinch.burn_report import serialize_report
from sassafraswinch.status import Status, serialize_status
from sassafraswinch_tool.nodes import Reply
from sassafraswinch_tool.porcelain import FileCheck, FleetBurn
from sassafraswinch_tool.tables import printable


def print_lines(lines: Iterable[str]) -> None:
    """Print lines without anything that a terminal would obey."""
    for line in lines:
        print(printable(line))


def print_errors(errors: Iterable[Exception | str]) -> None:
    """Print errors to stderr, a line each."""
    for error in errors:
        print(printable(error), file=sys.stderr)


def print_json(fields: object) -> None:
    """Print JSON for a script."""
    print(json.dumps(fields, indent=2))


def check_fields(found: FileCheck) -> dict:
    """Return a check as it goes to JSON."""
    return {
        "kind": found.kind.value,
        "faults": [
            {"field": fault.field, "reason": fault.reason} for fault in found.faults
        ],
        "cautions": [
            {"field": caution.field, "reason": caution.reason}
            for caution in found.cautions
        ],
    }


def status_fields(reply: Reply[Status]) -> dict:
    """Return a node's reply as it goes to JSON; the status is null without one."""
    said = json.loads(serialize_status(reply.said)) if reply.said else None
    return {"address": str(reply.address), "status": said, "error": reply.error}


def burn_fields(fleet: FleetBurn) -> dict:
    """Return the burn of many nodes as it goes to JSON."""
    return {
        "report": json.loads(serialize_report(fleet.report)),
        "unreachable": [
            {"address": str(reply.address), "error": reply.error}
            for reply in fleet.unreachable
        ],
    }
