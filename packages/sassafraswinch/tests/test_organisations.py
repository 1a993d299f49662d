"""Organisations and their keys."""

import pytest

from sassafraswinch.organisations import (
    AmbiguousOrganisationError,
    Organisation,
    OrganisationKeys,
    Organisations,
    parse_bearer_key,
)


def entry(name, *keys):
    return OrganisationKeys(organisation=Organisation(name=name), api_keys=keys)


def test_a_key_leads_to_its_organisation():
    organisations = Organisations(
        organisation_keys=[entry("a", "k1", "k2"), entry("b", "k3")]
    )
    assert organisations.find("k2").name == "a"
    assert organisations.find("k3").name == "b"
    assert organisations.find("k4") is None
    assert organisations.find(None) is None


def test_an_organisation_may_have_no_key_left():
    assert Organisations(organisation_keys=[entry("a")]).find("") is None


@pytest.mark.parametrize(
    "entries",
    [[entry("a", "k"), entry("b", "k")], [entry("a", "k"), entry("a", "l")]],
)
def test_names_and_keys_stand_for_one_organisation(entries):
    with pytest.raises(AmbiguousOrganisationError) as caught:
        Organisations(organisation_keys=entries)
    assert "k" not in str(caught.value).replace("key", "").replace("listed twice", "")


def test_ten_thousand_organisations_are_read():
    entries = [entry(f"o{n}", f"key-{n}") for n in range(10_000)]
    assert Organisations(organisation_keys=entries).find("key-9999").name == "o9999"


def test_keys_do_not_show_in_texts():
    assert "secret" not in repr(entry("a", "secret"))


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
def test_the_key_of_a_request(values, key):
    assert parse_bearer_key(values) == key
