"""Exceptions of the library; each carries its details as attributes."""

from sassafraswinch.verdict import Verdict


class SassafraswinchError(Exception):
    """Base class of all errors raised by sassafraswinch.

    Attributes:
        verdict: Whether the request may have run; None if no request is concerned.
    """

    verdict: Verdict | None = None


class InvalidFieldError(SassafraswinchError):
    """A field of the settings or of a document is invalid.

    Attributes:
        source: File or other source that the field was read from.
        field: Dotted path of the field, such as ``classes.0.deadline_ms``.
        reason: Description of the fault for operators.
    """

    def __init__(self, *, source: str, field: str, reason: str):
        super().__init__(f"{source}: {field}: {reason}")
        self.source = source
        self.field = field
        self.reason = reason


class InvalidFieldsError(ExceptionGroup[InvalidFieldError]):
    """All invalid fields of one file, raised together."""

    def derive(self, excs):
        """Return a group of the same type over ``excs``."""
        return InvalidFieldsError(self.message, excs)


class SelectorSyntaxError(SassafraswinchError):
    """A label selector can't be parsed.

    Attributes:
        selector: Complete text of the selector.
        position: Index in ``selector`` of the first invalid character.
        reason: Description of the expected text.
    """

    def __init__(self, *, selector: str, position: int, reason: str):
        super().__init__(f"selector {selector!r}, character {position}: {reason}")
        self.selector = selector
        self.position = position
        self.reason = reason


class InvariantError(SassafraswinchError, AssertionError):
    """An invariant that is checked at run time doesn't hold.

    Attributes:
        invariant: Short name, as in docs/INVARIANTS.md.
        facts: Description of the state that violates it.
    """

    def __init__(self, *, invariant: str, facts: str):
        super().__init__(f"invariant {invariant} broken: {facts}")
        self.invariant = invariant
        self.facts = facts
