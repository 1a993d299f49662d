"""Command that measures the cost figures on which docs/CAPACITY.md is based."""

import sys
from dataclasses import asdict

import defopt
import orjson

from sassafraswinch_standins import (
    slopes_hosts,
    slopes_links,
    slopes_node,
    slopes_processes,
    slopes_sidecar,
    slopes_spread,
    slopes_state,
)
from sassafraswinch_standins.slopes_timing import Figure, machine

PARTS = {
    "links": slopes_links.measure,
    "node": slopes_node.measure,
    "hosts": slopes_hosts.measure,
    "spread": slopes_spread.measure,
    "state": slopes_state.measure,
    "sidecar": slopes_sidecar.measure,
    "processes": slopes_processes.measure,
}


def table(figures: list[Figure]) -> str:
    """Format figures as aligned lines."""
    width = max(len(figure.name) for figure in figures)
    return "\n".join(
        f"  {figure.name:<{width}}  {figure.value:12,.2f} {figure.unit}"
        for figure in figures
    )


def main(*, parts: list[str] | None = None, json: bool = False) -> None:
    """Measure and print costs, with their slopes against fleet and message sizes.

    Args:
        parts: links, node, hosts, spread, state, sidecar or processes; all by default.
        json: print one JSON object instead of a table.
    """
    unknown = set(parts or ()) - PARTS.keys()
    if unknown:
        sys.exit(
            f"unknown parts: {', '.join(sorted(unknown))}; expected {', '.join(PARTS)}"
        )
    host_load = machine()
    measured = {part: list(PARTS[part]()) for part in parts or PARTS}
    report = {"machine": host_load}
    report |= {part: [asdict(f) for f in figures] for part, figures in measured.items()}
    if json:
        print(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())
        return
    kind = "trials: the host is busy" if host_load["trial"] else "measured"
    print(
        f"load average {host_load['load_average']}, {host_load['cores']} cores; {kind}"
    )
    for part, figures in measured.items():
        print(f"{part}\n{table(figures)}")


if __name__ == "__main__":
    defopt.run(main)
