"""What the kernel knows about TCP sockets that the process hasn't read yet."""

import fcntl
import struct
import termios


def has_unread_bytes(connection) -> bool:
    """Return whether a connection has received bytes that the process hasn't read.

    Args:
        connection: the connection's socket, or a transport's view of it.
    """
    try:
        count = fcntl.ioctl(connection.fileno(), termios.FIONREAD, b"\0" * 4)
    except (OSError, ValueError):
        return False
    return bool(struct.unpack("i", count)[0])
