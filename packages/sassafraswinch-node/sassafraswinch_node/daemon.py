"""Command-line entry point of the node, ``sassafraswinchd``."""

import asyncio
import gc
import sys
from functools import partial
from pathlib import Path

import defopt

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_node.address_wait import UnusableAddressError
from sassafraswinch_node.logs import (
    configure_logs,
    flush_logs,
    log_event,
    log_process_failure,
)
from sassafraswinch_node.process import NodeProcess
from sassafraswinch_node.settings import Settings, load_settings
from sassafraswinch_node.settings_changes import log_settings_changes
from sassafraswinch_node.settings_file import read_when_valid
from sassafraswinch_node.signals import (
    handle_signals,
    ignore_handled_signals,
    ignore_unused_signals,
)
from sassafraswinch_node.standard_streams import open_closed_streams

EXIT_BAD_SETTINGS = 2
EXIT_ABORTED = 1


async def run(settings: Settings, *, path: Path) -> bool:
    """Run a node until it is stopped by a signal or by the host list.

    Args:
        settings: the validated settings.
        path: the file that they were read from.

    Returns:
        True if all requests in flight were completed.
    """
    process = NodeProcess(settings=settings)
    loop = asyncio.get_running_loop()
    stop_signals = 0

    def stop(reason: str) -> None:
        nonlocal stop_signals
        stop_signals += 1
        if stop_signals == 1:
            process.leave()
            loop.call_later(settings.stop_timeout_ms / 1000, process.abort)
        else:
            process.abort()

    handle_signals(
        loop,
        on_stop=stop,
        on_hang_up=partial(log_settings_changes, settings, path=path),
    )
    if await process.start():
        gc.collect()
        gc.freeze()
        await process.stopped.wait()
    await process.close()
    ignore_handled_signals()
    return process.aborted_calls == 0


def serve(*, settings: Path) -> int:
    """Run one node of sassafraswinch beside its backend server.

    SIGTERM stops it gracefully: new requests are refused, and requests in flight are
    completed. A second SIGTERM ends it at once and logs the aborted requests. SIGHUP
    logs which settings have changed in the file; they take effect on a restart.

    Exit codes: 0 all requests completed, 1 requests were aborted or the node failed,
    2 bad settings.

    Args:
        settings: YAML file; docs/OPERATIONS.md describes its fields.
    """
    try:
        loaded = read_when_valid(lambda: load_settings(settings))
    except InvalidFieldsError as group:
        for error in group.exceptions:
            print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configure_logs(level=loaded.log_level)
    try:
        completed = asyncio.run(run(loaded, path=settings))
    except UnusableAddressError as error:
        log_event("start_failed", level="error", reason=str(error))
        return EXIT_BAD_SETTINGS
    except Exception as error:
        log_process_failure(error)
        return EXIT_ABORTED
    finally:
        flush_logs()
    return 0 if completed else EXIT_ABORTED


def main() -> None:
    """Parse the command line and run the node."""
    ignore_unused_signals()
    open_closed_streams()
    sys.exit(defopt.run(serve, argv=sys.argv[1:]))


if __name__ == "__main__":
    main()
