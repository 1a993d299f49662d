"""Ports of the platform reader: client of the store, and receiver of its changes."""

from typing import Protocol

from sassafraswinch.errors import SassafraswinchError
from sassafraswinch_sidecar.replica import Delta
from sassafraswinch_sidecar.revisions import Revision


class PlatformUnavailableError(SassafraswinchError):
    """The platform's store didn't return usable data.

    Attributes:
        reason: cause, worded for a log line.
        answered: whether the store replied at all, so that it can be reached.
        timed_out: whether the store didn't reply in time.
    """

    def __init__(self, *, reason: str, answered: bool = False, timed_out: bool = False):
        super().__init__(reason)
        self.reason = reason
        self.answered = answered
        self.timed_out = timed_out


class HistoryGoneError(SassafraswinchError):
    """The store no longer keeps the changes after the requested revision."""


class PlatformStore(Protocol):
    """Client of the platform's store; each platform adapter implements it.

    Attributes:
        era: era of the latest reply, refusals included.
    """

    era: int

    async def read(self) -> Delta:
        """Return all relevant data as a full delta.

        Raises:
            PlatformUnavailableError: the store returned no usable data.
        """

    async def has_instance(self, instance_id: str) -> bool:
        """Return whether an instance is currently registered.

        Raises:
            PlatformUnavailableError: the store returned no usable data.
        """

    async def watch(self, after: Revision, wait_ms: int) -> Delta:
        """Return the changes after a revision as soon as there is one.

        The reply may belong to another era, and doesn't continue from the revision
        then.

        Args:
            after: revision up to which changes are known.
            wait_ms: longest time to wait for a change.

        Raises:
            HistoryGoneError: the changes are no longer kept; a full read is needed.
            PlatformUnavailableError: the store returned no usable data.
        """


class PlatformListener(Protocol):
    """Receiver of the platform's changes and state."""

    @property
    def revision(self) -> Revision:
        """Revision up to which all changes are known."""

    def apply_delta(self, delta: Delta, source: str) -> None:
        """Apply changes."""

    def record_outage(self) -> None:
        """Record that the platform can't be read."""

    def record_outage_end(self) -> None:
        """Record that the platform can be read, by this sidecar or by a peer."""

    def record_following(self, following: bool) -> None:
        """Record that this sidecar began or ceased to follow the platform."""
