"""Checks of a document's entries against one another.

They read the plain data, so that an entry with a wrong field still takes part
and all faults are reported in one go.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping

from sassafraswinch.document_fields import RequestSelectorField
from sassafraswinch.document_text import Faults
from sassafraswinch.labels import Selector
from sassafraswinch.paths import AmbiguityIndex, parse_path_template
from sassafraswinch.yaml_events import FieldPath, Plain

Raw = Mapping[str, Plain]


def check_sections(
    raw: Raw, *, non_repeatable: Mapping[int, Selector], faults: Faults
) -> None:
    """Record what is wrong between entries that may be right by themselves.

    Args:
        raw: the whole document as plain data.
        non_repeatable: those selectors of the section that could be parsed.
        faults: gets the faults.
    """
    _check_known(raw, ("callers", "organisation"), "organisations", faults)
    _check_known(raw, ("operations", "service"), "services", faults)
    _check_unique(raw, "operations", faults)
    _check_unique(raw, "classes", faults)
    _check_paths(raw, faults)
    _check_classes(raw, faults)
    _check_non_repeatable(raw, non_repeatable, faults)


def _entries(raw: Raw, section: str) -> Iterator[tuple[FieldPath, dict]]:
    """Yield those entries of a map or list that have fields."""
    value = raw.get(section)
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for place, entry in items:
        if isinstance(entry, dict):
            yield (section, place), entry


def _texts(raw: Raw, section: str, name: str) -> Iterator[tuple[FieldPath, str]]:
    """Yield one field of every entry where it is text."""
    for path, entry in _entries(raw, section):
        value = entry.get(name)
        if isinstance(value, str):
            yield (*path, name), value


def _check_known(
    raw: Raw, reference: tuple[str, str], section: str, faults: Faults
) -> None:
    known = raw.get(section, {})
    if not isinstance(known, dict):
        return
    for path, name in _texts(raw, *reference):
        if name not in known:
            faults.add(path, f"{name!r} is not in {section}")


def _check_unique(raw: Raw, section: str, faults: Faults) -> None:
    first_paths: dict[str, FieldPath] = {}
    for path, name in _texts(raw, section, "name"):
        first = first_paths.setdefault(name, path)
        if first != path:
            faults.add(path, f"{name!r} is also the name of {section}.{first[1]}")


def _check_paths(raw: Raw, faults: Faults) -> None:
    indexes: defaultdict[tuple, AmbiguityIndex] = defaultdict(AmbiguityIndex)
    for path, entry in _entries(raw, "operations"):
        text = entry.get("path")
        key = (entry.get("service"), entry.get("method"))
        if not all(isinstance(value, str) for value in (text, *key)):
            continue
        try:
            segments = parse_path_template(text)
        except ValueError:
            continue
        other = indexes[key].find(segments)
        if other is not None:
            faults.add(
                (*path, "path"),
                f"ambiguous with operations.{other}: some paths match both, and "
                "neither template is the more specific one",
            )
        indexes[key].add(segments, path[1])


def _check_classes(raw: Raw, faults: Faults) -> None:
    classes = raw.get("classes")
    last = len(classes) - 1 if isinstance(classes, list) else -1
    for path, entry in _entries(raw, "classes"):
        place = path[1]
        matches_all = all(
            isinstance(text := entry.get(name.value, ""), str) and not text.strip()
            for name in RequestSelectorField
        )
        if place == last and not matches_all:
            faults.add(
                path, "the last class must match every request: clear its selectors"
            )
        if place != last and matches_all:
            faults.add(path, "matches every request, so no later class is reached")


def _check_non_repeatable(
    raw: Raw, non_repeatable: Mapping[int, Selector], faults: Faults
) -> None:
    """Refuse a selector without effect: a misspelt one lets approvals run twice."""
    label_sets = [
        labels
        for _, entry in _entries(raw, "operations")
        if isinstance(labels := entry.get("labels", {}), dict)
    ]
    for place, selector in non_repeatable.items():
        if not any(map(selector.matches, label_sets)):
            faults.add(("non_repeatable", place), "matches no operation")
