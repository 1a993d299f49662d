"""Listening addresses that are taken, or not there yet, when a process starts."""

import asyncio
import errno
import socket
from collections.abc import Sequence
from contextlib import suppress

from sassafraswinch.errors import SassafraswinchError
from sassafraswinch_node.addresses import Address
from sassafraswinch_node.listening_sockets import bind_all
from sassafraswinch_node.logs import log_event

TRANSIENT_BIND_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})
"""Errors that pass without a change of the settings: another socket has the port, or
the address isn't assigned to an interface yet."""

BIND_RETRY_INTERVAL_S = 0.2
"""Interval of the attempts to bind the addresses."""


class UnusableAddressError(SassafraswinchError):
    """An address can't be bound, for a reason that doesn't pass."""


async def bind_when_available(
    addresses: Sequence[Address],
    *,
    stopping: asyncio.Event,
    serves_meanwhile: bool = False,
) -> list[socket.socket]:
    """Return a listening socket for each address, once all of them can be bound.

    Until then none of them listens, so that no caller waits for a process that doesn't
    serve yet. Logs each change of what is missing.

    Args:
        addresses: the addresses; port 0 selects a free port.
        stopping: set when the process is told to stop, which ends the wait.
        serves_meanwhile: whether the process serves without them, for the log.

    Returns:
        The sockets in the order of the addresses; none if the process is to stop.

    Raises:
        UnusableAddressError: an address can't be bound, for a reason that doesn't pass.
    """
    reported = None
    while not stopping.is_set():
        try:
            sockets = bind_all(addresses)
        except OSError as error:
            if error.errno not in TRANSIENT_BIND_ERRORS:
                raise UnusableAddressError(str(error)) from error
            missing = {"address": error.filename, "reason": error.strerror}
            if missing != reported:
                log_event(
                    "address_unavailable",
                    level="warning",
                    **missing,
                    serves_meanwhile=serves_meanwhile,
                )
            reported = missing
        else:
            if reported:
                names = ",".join(map(str, addresses))
                log_event("addresses_available", level="warning", addresses=names)
            return sockets
        with suppress(TimeoutError):
            async with asyncio.timeout(BIND_RETRY_INTERVAL_S):
                await stopping.wait()
    return []


async def bind_optional(
    address: Address, *, stopping: asyncio.Event
) -> socket.socket | None:
    """Return a listening socket for an address that isn't needed to serve.

    Waits as ``bind_when_available`` does.

    Returns:
        The socket; None if the process is to stop, or if the address can't be bound for
        a reason that doesn't pass, which is logged.
    """
    try:
        sockets = await bind_when_available(
            [address], stopping=stopping, serves_meanwhile=True
        )
    except UnusableAddressError as error:
        log_event(
            "listener_failed",
            level="error",
            address=str(address),
            reason=str(error),
        )
        return None
    return sockets[0] if sockets else None
