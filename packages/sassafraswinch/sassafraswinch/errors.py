"""Errors of the library; each carries the facts as attributes."""

from sassafraswinch.verdict import Verdict


class SassafraswinchError(Exception):
    """Base of all errors raised by sassafraswinch.

    Attributes:
        verdict: whether the request at hand may have run; None where no
            request is concerned.
    """

    verdict: Verdict | None = None


class InvalidFieldError(SassafraswinchError):
    """One field of settings or of a document is wrong.

    Attributes:
        source: the file or other place the field was read from.
        field: dotted path of the field, such as ``classes.0.deadline_ms``.
        reason: what is wrong with it, in words for an operator.
    """

    def __init__(self, *, source: str, field: str, reason: str):
        super().__init__(f"{source}: {field}: {reason}")
        self.source = source
        self.field = field
        self.reason = reason


class InvalidFieldsError(ExceptionGroup[InvalidFieldError]):
    """All faults of one file, raised together."""

    def derive(self, excs):
        """Return a group of the same type over ``excs``."""
        return InvalidFieldsError(self.message, excs)


class SelectorSyntaxError(SassafraswinchError):
    """A label selector can't be parsed.

    Attributes:
        selector: the whole text.
        position: index in ``selector`` of the first wrong character.
        reason: what was expected there.
    """

    def __init__(self, *, selector: str, position: int, reason: str):
        super().__init__(f"selector {selector!r}, character {position}: {reason}")
        self.selector = selector
        self.position = position
        self.reason = reason


class InvariantError(SassafraswinchError, AssertionError):
    """An invariant that the running program asserts doesn't hold.

    Attributes:
        invariant: short name, as in docs/INVARIANTS.md.
        facts: the state that breaks it, in words.
    """

    def __init__(self, *, invariant: str, facts: str):
        super().__init__(f"invariant {invariant} broken: {facts}")
        self.invariant = invariant
        self.facts = facts
