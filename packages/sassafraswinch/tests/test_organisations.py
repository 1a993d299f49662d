"""Tests of organisations and their API keys."""

import pytest

from sassafraswinch.organisations import (
    AmbiguousOrganisationError,
    Organisation,
    OrganisationKeys,
    Organisations,
    parse_bearer_key,
)


def organisation_keys(name, *keys):
    return OrganisationKeys(organisation=Organisation(name=name), api_keys=keys)


def test_key_identifies_its_organisation():
    organisations = Organisations(
        organisation_keys=[
            organisation_keys("a", "k1", "k2"),
            organisation_keys("b", "k3"),
        ]
    )
    assert organisations.find("k2").name == "a"
    assert organisations.find("k3").name == "b"
    assert organisations.find("k4") is None
    assert organisations.find(None) is None


def test_organisation_may_have_no_key():
    assert Organisations(organisation_keys=[organisation_keys("a")]).find("") is None


@pytest.mark.parametrize(
    "entries",
    [
        [organisation_keys("a", "k"), organisation_keys("b", "k")],
        [organisation_keys("a", "k"), organisation_keys("a", "l")],
    ],
)
def test_shared_names_and_keys_are_refused(entries):
    with pytest.raises(AmbiguousOrganisationError) as caught:
        Organisations(organisation_keys=entries)
    assert "k" not in str(caught.value).replace("key", "").replace("listed twice", "")


def test_ten_thousand_organisations_are_accepted():
    entries = [organisation_keys(f"o{n}", f"key-{n}") for n in range(10_000)]
    assert Organisations(organisation_keys=entries).find("key-9999").name == "o9999"


def test_keys_are_left_out_of_repr():
    assert "secret" not in repr(organisation_keys("a", "secret"))


@pytest.mark.parametrize(
    ("values", "key"),
    [
        ([b"Bearer abc"], "abc"),
        ([b"bearer abc"], "abc"),
        ([b" BEARER  abc "], "abc"),
        ([b"Basic abc"], None),
        ([b"Bearer"], None),
        ([b"Bearer "], None),
        ([b"abc"], None),
        ([], None),
        ([b"Bearer abc", b"Bearer abc"], None),
    ],
)
def test_bearer_key_of_authorization_fields(values, key):
    assert parse_bearer_key(values) == key
