"""Output of the command line: results on stdout, errors on stderr."""

import json
import sys
from collections.abc import Iterable

from sassafraswinch.burn_report import serialize_report
from sassafraswinch.status import Status, serialize_status
from sassafraswinch_tool.nodes import Reply
from sassafraswinch_tool.porcelain import FileCheck, FleetBurn
from sassafraswinch_tool.tables import printable


def print_lines(lines: Iterable[str]) -> None:
    """Print lines with terminal control characters replaced."""
    for line in lines:
        print(printable(line))


def print_errors(errors: Iterable[Exception | str]) -> None:
    """Print one line per error to stderr."""
    for error in errors:
        print(printable(error), file=sys.stderr)


def print_json(fields: object) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(fields, indent=2))


def check_fields(result: FileCheck) -> dict:
    """Return the JSON form of a file check."""
    return {
        "kind": result.kind.value,
        "faults": [
            {"field": fault.field, "reason": fault.reason} for fault in result.faults
        ],
        "cautions": [
            {"field": caution.field, "reason": caution.reason}
            for caution in result.cautions
        ],
    }


def status_fields(reply: Reply[Status]) -> dict:
    """Return the JSON form of a node's reply; the status is null after a failure."""
    status = json.loads(serialize_status(reply.result)) if reply.result else None
    return {"address": str(reply.address), "status": status, "error": reply.error}


def burn_fields(fleet: FleetBurn) -> dict:
    """Return the JSON form of the merged burn report and the unreachable nodes."""
    return {
        "report": json.loads(serialize_report(fleet.report)),
        "unreachable": [
            {"address": str(reply.address), "error": reply.error}
            for reply in fleet.unreachable
        ],
    }
