"""Configuration keepers over documents whose text says what they are."""

import hashlib
import random
from dataclasses import dataclass

from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError
from sassafraswinch.version_claims import Stamp
from sassafraswinch.versions import ConfigKeeper


@dataclass
class FakeDocument:
    version: int
    body: bytes


def parse(body):
    kind, version, _ = body.split(maxsplit=2)
    if kind == b"crash":
        raise RecursionError("parser fault")
    if kind == b"bad":
        fault = InvalidFieldError(source="test", field="classes", reason="missing")
        raise InvalidFieldsError("test", [fault])
    return FakeDocument(version=int(version), body=body)


def digest(body):
    return hashlib.sha256(body).hexdigest()[:16]


def stamp_of(body):
    return Stamp(int(body.split(maxsplit=2)[1]), digest(body))


def body_of(version, kind="good", salt=0):
    return f"{kind} {version} {salt}".encode()


def new_keeper(seed=1):
    return ConfigKeeper(parse=parse, digest=digest, rng=random.Random(seed))
