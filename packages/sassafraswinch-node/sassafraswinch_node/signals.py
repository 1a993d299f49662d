"""What each signal does to a process: nodes and sidecars treat them alike.

SIGTERM and SIGINT request a planned stop, and end a process that doesn't serve yet.
SIGHUP announces changed settings, which are read and compared; it is ignored until
then. The signals in ``UNUSED`` are always ignored, and all others keep their default
action.

Once a planned stop has closed all connections, SIGTERM, SIGINT and SIGHUP are ignored
until the process has exited. The module imports nothing that isn't built into the
interpreter, so that it can be used before any library is imported.
"""

# Not ``signal``, which imports ``enum``: signals would be ignored later.
import _signal

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

UNUSED = tuple(
    getattr(_signal, name)
    for name in (
        "SIGUSR1",
        "SIGUSR2",
        "SIGALRM",
        "SIGVTALRM",
        "SIGPROF",
        "SIGIO",
        "SIGPWR",
        "SIGSTKFLT",
    )
    if hasattr(_signal, name)
)
"""Signals that mean nothing to the process, and whose default action ends it. Not all
systems have all of them."""

STOP = {_signal.SIGTERM: "SIGTERM", _signal.SIGINT: "SIGINT"}
"""Names of the signals that request a planned stop."""

HANDLED = (*STOP, _signal.SIGHUP)
"""Signals that the event loop handles."""


def ignore_unused_signals() -> None:
    """Ignore SIGHUP and the signals without a meaning; SIGINT ends without a traceback.

    A change of the settings that SIGHUP announces isn't lost, since the program reads
    them afterwards.
    """
    for number in (_signal.SIGHUP, *UNUSED):
        _signal.signal(number, _signal.SIG_IGN)
    if _signal.getsignal(_signal.SIGINT) is _signal.default_int_handler:
        _signal.signal(_signal.SIGINT, _signal.SIG_DFL)


def handle_signals(
    loop: "asyncio.AbstractEventLoop",
    *,
    on_stop: "Callable[[str], object]",
    on_hang_up: "Callable[[], object]",
) -> None:
    """Call functions in the event loop when signals arrive.

    The handlers aren't the loop's own: a loop that is closed restores the default
    actions, and another signal would end the process while it exits.

    Args:
        loop: the running event loop.
        on_stop: called with the name of the signal, for SIGTERM and, unless it was
            ignored at the start, SIGINT.
        on_hang_up: called for SIGHUP.
    """
    scheduled: set[int] = set()

    def call(number: int) -> None:
        scheduled.discard(number)
        if number in STOP:
            on_stop(STOP[number])
        else:
            on_hang_up()

    def notify(number: int, frame: object) -> None:
        # Signals that arrive faster than they are handled count as one.
        if number not in scheduled:
            scheduled.add(number)
            loop.call_soon_threadsafe(call, number)

    # Failure: shells start background commands with SIGINT ignored, and the interrupt
    # of another command of the same terminal would stop the process.
    ignored_sigint = _signal.getsignal(_signal.SIGINT) == _signal.SIG_IGN
    for number in HANDLED:
        if number != _signal.SIGINT or not ignored_sigint:
            _signal.signal(number, notify)


def ignore_handled_signals() -> None:
    """Ignore the signals that the event loop handles, until the process has exited.

    Failure: another signal during a planned stop ends the process before it has written
    its log and returned its exit code.
    """
    for number in HANDLED:
        _signal.signal(number, _signal.SIG_IGN)
