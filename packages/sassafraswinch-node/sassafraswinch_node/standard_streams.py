"""Standard streams of a process that was started with some of them closed."""

import os
import sys

STREAMS = (("stdin", "r"), ("stdout", "w"), ("stderr", "w"))
"""Names and modes of the standard streams, by descriptor."""


def open_closed_streams() -> None:
    """Open the null device at those of the descriptors 0 to 2 that are closed.

    Failure: a socket that is opened later gets the descriptor of standard output or
    standard error, and receives the log or an error message.
    """
    for descriptor, (name, mode) in enumerate(STREAMS):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free descriptor, since those below are open by now.
            os.open(os.devnull, os.O_RDWR)
            setattr(sys, name, os.fdopen(descriptor, mode, closefd=False))
