"""Listening TCP sockets, and how they stop without resetting connections."""

import array
import asyncio
import errno
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from typing import Protocol

from sassafraswinch_node.addresses import Address

BACKLOG = 1024
"""Maximum length of the queue of connections waiting to be accepted."""

HANDSHAKE_TIMEOUT_MS = 20.0
"""Time allowed for handshakes that are under way when a listening socket is about to
close: several round trips between availability zones."""

MAX_ACCEPT_TURNS = 2 * BACKLOG
"""Maximum number of turns of the event loop that a stop waits for an empty queue of
connections. Only accepts that fail, or a system without socket filters, need more."""

MAX_READ_TURNS = 16
"""Maximum number of turns of the event loop in which received bytes are read at the end
of a stop. Only connections whose reading is paused need more."""

FIRST_REQUEST_TIMEOUT_MS = 200.0
"""Time for which a stop waits for the first request of a new connection. Callers
connect when they have a request to send, and a starved one sends it late."""

CLOSE_CHECK_INTERVAL_S = 0.01
"""Interval of the checks for idle connections during a stop."""

_SO_ATTACH_FILTER = 26
"""Linux socket option that the socket module doesn't name."""

_BPF_LOAD_BYTE, _BPF_JUMP_IF_SET, _BPF_RETURN = 0x30, 0x45, 0x06
_TCP_FLAGS_OFFSET, _TCP_SYN = 13, 0x02
_DROP, _ACCEPT = 0, 0xFFFF_FFFF

_DROP_SYN = (
    (_BPF_LOAD_BYTE, 0, 0, _TCP_FLAGS_OFFSET),
    (_BPF_JUMP_IF_SET, 0, 1, _TCP_SYN),
    (_BPF_RETURN, 0, 0, _DROP),
    (_BPF_RETURN, 0, 0, _ACCEPT),
)
"""Classic BPF program, run on each segment from its TCP header on."""


class Connection(Protocol):
    """A connected socket, or a transport's view of one."""

    def fileno(self) -> int:
        """Return the file descriptor, or -1 if it is closed."""


def bind(ip: str, port: int, *, backlog: int = BACKLOG) -> socket.socket:
    """Return a listening socket; port 0 selects a free port.

    Raises:
        OSError: if the address can't be bound.
    """
    return bind_all([Address(ip=ip, port=port)], backlog=backlog)[0]


def bind_all(
    addresses: Iterable[Address], *, backlog: int = BACKLOG
) -> list[socket.socket]:
    """Return a listening socket for each address; none listens until all are bound.

    Raises:
        OSError: if an address can't be bound; its ``filename`` is the address.
    """
    addresses = list(addresses)
    with ExitStack() as opened:
        sockets = [opened.enter_context(_bind(address)) for address in addresses]
        for address, bound in zip(addresses, sockets, strict=True):
            with _named_errors(address):
                bound.listen(backlog)
        opened.pop_all()
    return sockets


def _bind(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    with _named_errors(address), ExitStack() as opened:
        # asyncio sets TCP_NODELAY only on sockets whose protocol is explicitly TCP.
        bound = opened.enter_context(
            socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        )
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((address.ip, address.port))
        opened.pop_all()
    return bound


@contextmanager
def _named_errors(address: Address) -> Iterator[None]:
    """Add the address to the errors of its socket."""
    try:
        yield
    except OSError as error:
        raise OSError(error.errno, error.strerror, str(address)) from error
    except TypeError as error:
        # Raised for a text that can't even be the name of a host.
        raise OSError(errno.EINVAL, str(error), str(address)) from error


def block_handshakes(listening: socket.socket) -> None:
    """Drop the opening segments of new connections to a listening socket.

    Their callers repeat them and are refused once the socket is closed. Handshakes that
    are under way go on. Does nothing where the system has no socket filters.
    """
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in _DROP_SYN)
    instructions = array.array("B", code)
    address, _ = instructions.buffer_info()
    program = struct.pack("HP", len(_DROP_SYN), address)
    with suppress(OSError):
        listening.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


async def finish_handshakes(listening: socket.socket) -> None:
    """Accept no new connections, but those whose handshake is under way.

    Closing a listening socket resets the connections that the kernel has established
    and the process hasn't accepted. Their callers have sent requests, and can't know
    that these didn't run. The event loop must be accepting connections meanwhile.

    uvloop accepts one connection in each turn, and a starved process gets no turn for
    longer than the timeout. So turns are counted, not time, until none is waiting.
    """
    block_handshakes(listening)
    await asyncio.sleep(HANDSHAKE_TIMEOUT_MS / 1000)
    for _ in range(MAX_ACCEPT_TURNS):
        if not _has_waiting_connection(listening):
            return
        await asyncio.sleep(0)


def _has_waiting_connection(listening: socket.socket) -> bool:
    if listening.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(listening, select.POLLIN)
    return bool(poll.poll(0))


def has_unread_bytes(connection: Connection) -> bool:
    """Return whether a connection has received bytes that the process hasn't read."""
    try:
        count = fcntl.ioctl(connection.fileno(), termios.FIONREAD, b"\0" * 4)
    except (OSError, ValueError):
        return False
    return bool(struct.unpack("i", count)[0])


async def read_received_bytes(connections: Iterable[Connection]) -> None:
    """Let the event loop read what connections have received.

    A starved process reaches a time limit without a turn in which it could read.
    """
    open_connections = list(connections)
    for _ in range(MAX_READ_TURNS):
        if not any(map(has_unread_bytes, open_connections)):
            return
        await asyncio.sleep(0)
