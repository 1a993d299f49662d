"""Resource usage of a node process: processor time, memory and control traffic."""

import os
import time

from sassafraswinch_node.link import LinkTraffic

RATE_PERIOD_MS = 5_000.0
"""Period over which rates are computed."""

BYTES_PER_MB = 1024 * 1024


class UsageMeter:
    """Rates over the last full period, and current memory usage."""

    def __init__(self, *, now_ms: float, traffic: LinkTraffic):
        self.cpu_percent = 0.0
        self.control_bytes_per_s = 0.0
        self._period_start_ms = now_ms
        self._cpu_s = time.process_time()
        self._traffic = traffic
        self._control_bytes = traffic.control_bytes

    def tick(self, now_ms: float) -> None:
        """Update the rates at the end of each period."""
        elapsed_ms = now_ms - self._period_start_ms
        if elapsed_ms < RATE_PERIOD_MS:
            return
        cpu_s = time.process_time()
        self.cpu_percent = 100_000 * (cpu_s - self._cpu_s) / elapsed_ms
        self.control_bytes_per_s = (
            1_000 * (self._traffic.control_bytes - self._control_bytes) / elapsed_ms
        )
        self._period_start_ms = now_ms
        self._cpu_s = cpu_s
        self._control_bytes = self._traffic.control_bytes

    @property
    def memory_mb(self) -> float:
        """Resident memory of the process in MiB."""
        with open("/proc/self/statm", encoding="ascii") as statm:
            pages = int(statm.read().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB
