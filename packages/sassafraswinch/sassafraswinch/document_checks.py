"""Cross-entry validation of a document: references, unique names and class order.

The checks read the unvalidated data, so that an entry with an invalid field is still
checked and all faults are reported together.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping

from sassafraswinch.document_fields import RequestSelectorField
from sassafraswinch.document_text import Faults
from sassafraswinch.labels import Selector
from sassafraswinch.paths import AmbiguityIndex, parse_path_template
from sassafraswinch.yaml_events import FieldPath, PlainValue

RawDocument = Mapping[str, PlainValue]


def check_sections(
    raw: RawDocument, *, non_repeatable: Mapping[int, Selector], faults: Faults
) -> None:
    """Record the faults between entries that are valid on their own.

    Args:
        raw: full document as unvalidated data.
        non_repeatable: valid selectors of the ``non_repeatable`` section, by index.
        faults: receives the faults.
    """
    _check_references(raw, ("callers", "organisation"), "organisations", faults)
    _check_references(raw, ("operations", "service"), "services", faults)
    _check_unique_names(raw, "operations", faults)
    _check_unique_names(raw, "classes", faults)
    _check_paths(raw, faults)
    _check_classes(raw, faults)
    _check_non_repeatable(raw, non_repeatable, faults)


def _iter_entries(raw: RawDocument, section: str) -> Iterator[tuple[FieldPath, dict]]:
    """Yield path and fields of each entry of a map or list that is itself a map."""
    value = raw.get(section)
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, entry in items:
        if isinstance(entry, dict):
            yield (section, key), entry


def _iter_text_fields(
    raw: RawDocument, section: str, name: str
) -> Iterator[tuple[FieldPath, str]]:
    """Yield path and value of one field, for each entry that has it as text."""
    for path, entry in _iter_entries(raw, section):
        value = entry.get(name)
        if isinstance(value, str):
            yield (*path, name), value


def _check_references(
    raw: RawDocument, reference: tuple[str, str], section: str, faults: Faults
) -> None:
    known = raw.get(section, {})
    if not isinstance(known, dict):
        return
    for path, name in _iter_text_fields(raw, *reference):
        if name not in known:
            faults.add(path, f"{name!r} is not in {section}")


def _check_unique_names(raw: RawDocument, section: str, faults: Faults) -> None:
    first_paths: dict[str, FieldPath] = {}
    for path, name in _iter_text_fields(raw, section, "name"):
        first = first_paths.setdefault(name, path)
        if first != path:
            faults.add(path, f"{name!r} is also the name of {section}.{first[1]}")


def _check_paths(raw: RawDocument, faults: Faults) -> None:
    indexes: defaultdict[tuple, AmbiguityIndex] = defaultdict(AmbiguityIndex)
    for path, entry in _iter_entries(raw, "operations"):
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
                "neither template is more specific than the other",
            )
        indexes[key].add(segments, path[1])


def _check_classes(raw: RawDocument, faults: Faults) -> None:
    classes = raw.get("classes")
    last = len(classes) - 1 if isinstance(classes, list) else -1
    for path, entry in _iter_entries(raw, "classes"):
        index = path[1]
        matches_all = all(
            isinstance(text := entry.get(name.value, ""), str) and not text.strip()
            for name in RequestSelectorField
        )
        if index == last and not matches_all:
            faults.add(
                path, "the last class must match every request: clear its selectors"
            )
        if index != last and matches_all:
            faults.add(path, "matches every request, so no later class can match")


def _check_non_repeatable(
    raw: RawDocument, non_repeatable: Mapping[int, Selector], faults: Faults
) -> None:
    """Record selectors that match no operation.

    A misspelt selector would have no effect, and approvals could run twice.
    """
    label_sets = [
        labels
        for _, entry in _iter_entries(raw, "operations")
        if isinstance(labels := entry.get("labels", {}), dict)
    ]
    for index, selector in non_repeatable.items():
        if not any(map(selector.matches, label_sets)):
            faults.add(("non_repeatable", index), "matches no operation")
