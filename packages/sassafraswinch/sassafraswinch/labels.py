"""Label selectors in the syntax of Kubernetes: parsing, printing and matching."""

import enum
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from sassafraswinch.errors import SelectorSyntaxError

MAX_LABEL_LENGTH = 63
"""Longest label value, and longest label key without its prefix, in characters."""

MAX_PREFIX_LENGTH = 253
"""Longest prefix of a label key (the part before the slash), in characters."""

_WORD = r"[A-Za-z0-9]([-A-Za-z0-9_.]*[A-Za-z0-9])?"
_KEY = re.compile(
    rf"(?P<prefix>[a-z0-9]([-a-z0-9.]*[a-z0-9])?/)?(?P<name>{_WORD})", re.ASCII
)
_VALUE = re.compile(rf"({_WORD})?", re.ASCII)
_TOKEN = re.compile(r"==|!=|[=!(),]|[A-Za-z0-9][-A-Za-z0-9_./]*", re.ASCII)
_SPACES = re.compile(r"[ \t\r\n]*")
_SET_OPERATORS = ("in", "notin")
_PUNCTUATION = frozenset(("==", "!=", "=", "!", "(", ")", ","))


class Operator(enum.Enum):
    """Comparison that a requirement makes between a label and its values."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True, kw_only=True)
class Requirement:
    """Condition on the label of one key."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether ``labels`` meet the condition.

        As in Kubernetes, a label set without the key meets ``!=`` and ``notin``.
        """
        value = labels.get(self.key)
        match self.operator:
            case Operator.IN:
                return value in self.values
            case Operator.NOT_IN:
                return value not in self.values
            case Operator.EXISTS:
                return value is not None
            case Operator.ABSENT:
                return value is None

    def __str__(self) -> str:
        match self.operator:
            case Operator.EXISTS:
                return self.key
            case Operator.ABSENT:
                return f"!{self.key}"
        if len(self.values) == 1:
            sign = "=" if self.operator is Operator.IN else "!="
            return f"{self.key}{sign}{next(iter(self.values))}"
        return f"{self.key} {self.operator.value} ({','.join(sorted(self.values))})"


@dataclass(frozen=True, slots=True, kw_only=True)
class Selector:
    """Conjunction of requirements; an empty selector matches every label set."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether ``labels`` meet every requirement."""
        return all(requirement.matches(labels) for requirement in self.requirements)

    def __str__(self) -> str:
        return serialize_selector(self)


def parse_selector(text: str) -> Selector:
    """Parse a selector such as ``tier=trial,action in (approval, release)``.

    Args:
        text: selector; empty or blank text matches every label set.

    Returns:
        The parsed selector; equal texts give equal selectors.

    Raises:
        SelectorSyntaxError: if ``text`` is not a valid selector.
    """
    return _SelectorParser(text=text).parse()


def serialize_selector(selector: Selector) -> str:
    """Return the text of a selector; parsing it gives an equal selector."""
    return ",".join(map(str, selector.requirements))


def label_key_fault(key: str) -> str | None:
    """Return why ``key`` is not a valid label key; None if it is valid."""
    match = _KEY.fullmatch(key)
    if match is None:
        return (
            "a label key consists of letters, digits, '-', '_' and '.', begins and "
            "ends with a letter or digit, and may follow a DNS prefix and '/'"
        )
    if len(match["name"]) > MAX_LABEL_LENGTH:
        return f"label key is longer than {MAX_LABEL_LENGTH} characters"
    if len(match["prefix"] or "") > MAX_PREFIX_LENGTH + 1:
        return f"prefix of the label key is longer than {MAX_PREFIX_LENGTH} characters"
    if key in _SET_OPERATORS:
        return f"{key!r} is a selector operator and can't be used as a label key"
    return None


def label_value_fault(value: str) -> str | None:
    """Return why ``value`` is not a valid label value; None if it is valid."""
    if _VALUE.fullmatch(value) is None:
        return (
            "a label value is empty, or consists of letters, digits, '-', '_' and "
            "'.', and begins and ends with a letter or digit"
        )
    if len(value) > MAX_LABEL_LENGTH:
        return f"label value is longer than {MAX_LABEL_LENGTH} characters"
    return None


@dataclass(frozen=True, slots=True)
class _Token:
    text: str
    """Text of the token; empty at the end of the selector."""
    position: int

    @property
    def is_word(self) -> bool:
        return bool(self.text) and self.text not in _PUNCTUATION


def _tokenize(text: str) -> Iterator[_Token]:
    position = _SPACES.match(text).end()
    while position < len(text):
        match = _TOKEN.match(text, position)
        if match is None:
            raise SelectorSyntaxError(
                selector=text,
                position=position,
                reason=f"unexpected {text[position]!r}",
            )
        yield _Token(match.group(), position)
        position = _SPACES.match(text, match.end()).end()
    yield _Token("", len(text))


class _SelectorParser:
    """Recursive-descent parser of one selector."""

    def __init__(self, *, text: str):
        self._text = text
        self._tokens = tuple(_tokenize(text))
        self._index = 0

    def parse(self) -> Selector:
        if not self._next.text:
            return Selector()
        requirements = [self._parse_requirement()]
        while self._next.text:
            self._expect(",")
            requirements.append(self._parse_requirement())
        return Selector(requirements=tuple(requirements))

    @property
    def _next(self) -> _Token:
        return self._tokens[self._index]

    def _advance(self) -> _Token:
        token = self._next
        self._index += 1
        return token

    def _syntax_error(self, token: _Token, reason: str) -> SelectorSyntaxError:
        return SelectorSyntaxError(
            selector=self._text, position=token.position, reason=reason
        )

    def _expect(self, text: str) -> None:
        if self._next.text != text:
            found = (
                repr(self._next.text) if self._next.text else "the end of the selector"
            )
            raise self._syntax_error(self._next, f"expected {text!r}, found {found}")
        self._index += 1

    def _parse_requirement(self) -> Requirement:
        if self._next.text == "!":
            self._advance()
            return Requirement(key=self._parse_key(), operator=Operator.ABSENT)
        key = self._parse_key()
        token = self._next
        match token.text:
            case "" | ",":
                return Requirement(key=key, operator=Operator.EXISTS)
            case "=" | "==" | "!=":
                self._advance()
                operator = Operator.NOT_IN if token.text == "!=" else Operator.IN
                return Requirement(
                    key=key, operator=operator, values=frozenset((self._parse_value(),))
                )
            case "in" | "notin":
                self._advance()
                return Requirement(
                    key=key,
                    operator=Operator(token.text),
                    values=self._parse_value_set(),
                )
        raise self._syntax_error(
            token, "expected '=', '==', '!=', 'in', 'notin' or ','"
        )

    def _parse_key(self) -> str:
        token = self._next
        if not token.is_word:
            raise self._syntax_error(token, "expected a label key")
        fault = label_key_fault(token.text)
        if fault is not None:
            raise self._syntax_error(token, fault)
        return self._advance().text

    def _parse_value(self) -> str:
        if not self._next.is_word:
            return ""
        fault = label_value_fault(self._next.text)
        if fault is not None:
            raise self._syntax_error(self._next, fault)
        return self._advance().text

    def _parse_value_set(self) -> frozenset[str]:
        self._expect("(")
        if self._next.text == ")":
            raise self._syntax_error(self._next, "expected at least one value")
        values = {self._parse_value()}
        while self._next.text == ",":
            self._advance()
            values.add(self._parse_value())
        self._expect(")")
        return frozenset(values)
