"""Record of a case: what was sent, answered and run, in the order of time."""

import time
from pathlib import Path


class Record:
    """Lines with the time since the start of the case."""

    def __init__(self):
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self._started_s

    def add(self, event: str, **values: object) -> None:
        """Add a line."""
        pairs = " ".join(f"{name}={value}" for name, value in values.items())
        self._lines.append(f"{self.now_s():8.3f} {event} {pairs}")

    def write(self, path: Path) -> None:
        """Write the record to a file."""
        path.write_text("\n".join(self._lines) + "\n")
