"""Claim results: dispatch, join, recorded answer or refusal of a keyed request."""

import enum
from dataclasses import dataclass

from sassafraswinch.messages import Answer
from sassafraswinch.verdict import Reason, Verdict


class RunState(enum.IntEnum):
    """State of the only execution of a keyed request, in one byte."""

    UNUSED = 0
    RUNNING = 1
    NOT_RUN = 2
    ANSWERED = 3
    ANSWER_DROPPED = 4
    MAY_HAVE_RUN = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """The request may be dispatched; a call of ``finish`` must follow."""

    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Join:
    """The same request is running already: wait for the outcome of this number."""

    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Recorded:
    """The request has run; this is its complete answer."""

    answer: Answer


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The request isn't dispatched; the verdict for its key is permanent."""

    verdict: Verdict
    reason: Reason


Claim = Dispatch | Join | Recorded | Refused

NOT_KEPT = Refused(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.ANSWER_NOT_KEPT)
"""The request ran or may have run, and its answer isn't stored."""


def final_state(verdict: Verdict) -> RunState:
    """Return the state of a request that ended with this verdict."""
    return _FINAL_STATES[verdict]


_FINAL_STATES = {
    Verdict.NOT_RUN: RunState.NOT_RUN,
    Verdict.ANSWERED: RunState.ANSWERED,
    Verdict.MAY_HAVE_RUN: RunState.MAY_HAVE_RUN,
}
