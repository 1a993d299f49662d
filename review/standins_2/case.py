"""Frame of a case: its record, its time limit and its exit code."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

HELD, NOT_RUN, BROKEN = 0, 2, 10
"""Exit codes of a case; ``run.sh`` turns ``BROKEN`` into 1."""

NO_TROUBLE = "--trouble=0"
MAX_CASE_S = 112.0


class Record:
    """The file ``record.txt`` of a case; times count from its start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started_s = asyncio.get_running_loop().time()

    def now_s(self) -> float:
        """Return the time since the start."""
        return asyncio.get_running_loop().time() - self._started_s

    def since_start(self, at_s: float) -> float:
        """Return a time of the event loop as time since the start."""
        return at_s - self._started_s

    def line(self, text: str, at_s: float | None = None) -> None:
        """Write a line with its time."""
        time_s = self.now_s() if at_s is None else self.since_start(at_s)
        self._file.write(f"{time_s:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.line(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


Case = Callable[[Record, bool], Awaitable[bool]]
"""Plays a case with or without its disruption; returns whether the rule was broken."""


def main(play: Case, directory: Path) -> None:
    """Run a case and exit with its code."""
    has_trouble = NO_TROUBLE not in sys.argv[1:]
    sys.exit(asyncio.run(_run(play, directory, has_trouble)))


async def _run(play: Case, directory: Path, has_trouble: bool) -> int:
    record = Record(directory / "record.txt")
    # A stop of the script from outside ends the processes that it started, too.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        async with asyncio.timeout(MAX_CASE_S):
            is_broken = await play(record, has_trouble)
    except (TimeoutError, OSError, asyncio.CancelledError) as error:
        record.say(f"the case couldn't run: {error!r}")
        return NOT_RUN
    finally:
        record.close()
    print("rule broken" if is_broken else "rule held")
    return BROKEN if is_broken else HELD
