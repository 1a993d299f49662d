"""Steps of the build around pip: which libraries are installed, and for which machine.

``deploy/system.toml`` runs them at the repository root, with the ``python3`` that will
run the program:

- ``check`` succeeds if ``target/deps`` holds the libraries of this checkout for this
  machine and interpreter, so that nothing needs to be installed;
- ``accept`` puts a newly installed, complete folder in its place and stamps it;
- ``packages`` replaces the program's own packages in ``target/deps``.

Times of files decide nothing: a folder may come from another machine, or from an
archive that kept its times.
"""

import compileall
import hashlib
import json
import os
import re
import shutil
import sys
import sysconfig
from pathlib import Path

OLDEST_PYTHON = (3, 11)
"""Oldest version of Python that the program runs on."""

DEPENDENCIES = Path("target/deps")
"""Folder on the program's import path: libraries and the program's own packages."""

NEW_DEPENDENCIES = Path("target/deps.new")
"""Folder that pip installs into, until ``accept`` puts it in place."""

FORMER_DEPENDENCIES = Path("target/deps.old")
"""Folder that is being removed."""

STAMP_NAME = "build-stamp.json"
"""Describes what the libraries of a complete folder were installed for."""

LIBRARY_LIST = Path("deploy/libraries.txt")
PINNED_VERSIONS = Path("requirements.txt")

PACKAGES = (
    Path("packages/sassafraswinch/sassafraswinch"),
    Path("packages/sassafraswinch-node/sassafraswinch_node"),
    Path("packages/sassafraswinch-sidecar/sassafraswinch_sidecar"),
    Path("platform/sassafraswinch_platform"),
)
"""The program's own packages."""


def current_stamp(root: Path) -> dict[str, str]:
    """Return the stamp that fits this checkout, machine and interpreter."""
    digest = hashlib.sha256()
    for name in (LIBRARY_LIST, PINNED_VERSIONS):
        digest.update((root / name).read_bytes())
    return {
        "libraries": digest.hexdigest(),
        "packages": " ".join(package.name for package in PACKAGES),
        "machine": sysconfig.get_platform(),
        "python": f"{sys.implementation.cache_tag} {sysconfig.get_config_var('SOABI')}",
        "libc": _libc_version(),
    }


def _libc_version() -> str:
    try:
        return os.confstr("CS_GNU_LIBC_VERSION") or ""
    except (OSError, ValueError):
        return ""


def canonical_name(name: str) -> str:
    """Return the form of a library's name in which spellings don't differ."""
    return re.sub(r"[-_.]+", "-", name).lower()


def listed_libraries(root: Path) -> dict[str, str]:
    """Return the pinned version of each library in the list, by canonical name.

    Raises:
        ValueError: a library of the list isn't pinned.
    """
    lines = (root / PINNED_VERSIONS).read_text(encoding="utf-8").splitlines()
    pinned = {
        canonical_name(name): version
        for name, separator, version in (line.strip().partition("==") for line in lines)
        if separator
    }
    lines = (root / LIBRARY_LIST).read_text(encoding="utf-8").splitlines()
    listed = [canonical_name(line.strip()) for line in lines if _is_library(line)]
    unpinned = [name for name in listed if name not in pinned]
    if unpinned:
        raise ValueError(f"{PINNED_VERSIONS} pins no version of {', '.join(unpinned)}")
    return {name: pinned[name] for name in listed}


def _describe_files(folder: Path) -> str:
    """Return a digest of the names and sizes of the libraries' files."""
    own = {package.name for package in PACKAGES}
    files = sorted(
        (path.relative_to(folder).as_posix(), path.stat().st_size)
        for path in folder.rglob("*")
        if path.is_file() and "__pycache__" not in path.parts
    )
    described = [
        f"{name} {size}"
        for name, size in files
        if name != STAMP_NAME and name.partition("/")[0].partition(".")[0] not in own
    ]
    return hashlib.sha256("\n".join(described).encode()).hexdigest()


def _is_library(line: str) -> bool:
    return bool(line.strip()) and not line.lstrip().startswith(("#", "-"))


def find_missing(root: Path, folder: Path) -> list[str]:
    """Return the libraries that the folder doesn't hold at their pinned version."""
    installed = set()
    for entry in folder.glob("*.dist-info"):
        name, _, version = entry.name.removesuffix(".dist-info").partition("-")
        installed.add((canonical_name(name), version))
    return [
        f"{name}=={version}"
        for name, version in listed_libraries(root).items()
        if (name, version) not in installed
    ]


def check(root: Path) -> int:
    """Return 0 if the installed libraries can be used, else 1."""
    folder = root / DEPENDENCIES
    try:
        found = json.loads((folder / STAMP_NAME).read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return 1
    if found != current_stamp(root) | {"files": _describe_files(folder)}:
        print(f"{DEPENDENCIES}: made for {found}", file=sys.stderr)
        return 1
    return 1 if find_missing(root, folder) else 0


def accept(root: Path) -> int:
    """Put the newly installed folder in place if it is complete, and return 0."""
    new, former = root / NEW_DEPENDENCIES, root / FORMER_DEPENDENCIES
    missing = find_missing(root, new)
    if missing:
        print(f"{NEW_DEPENDENCIES}: missing {', '.join(missing)}", file=sys.stderr)
        return 1
    described = current_stamp(root) | {"files": _describe_files(new)}
    stamp = json.dumps(described, indent=1)
    (new / STAMP_NAME).write_text(stamp, encoding="utf-8")
    shutil.rmtree(former, ignore_errors=True)
    if (root / DEPENDENCIES).exists():
        (root / DEPENDENCIES).rename(former)
    new.rename(root / DEPENDENCIES)
    shutil.rmtree(former, ignore_errors=True)
    return 0


def replace_packages(root: Path) -> int:
    """Replace the program's own packages as wholes; return the exit code.

    A module that the checkout no longer has is not importable afterwards.
    """
    for package in PACKAGES:
        target = root / DEPENDENCIES / package.name
        new = target.with_name(f"{package.name}.new")
        shutil.rmtree(new, ignore_errors=True)
        shutil.copytree(
            root / package, new, ignore=shutil.ignore_patterns("__pycache__")
        )
        # Compiled here, since the program can't write to the checkout.
        where = str(DEPENDENCIES / package.name)
        if not compileall.compile_dir(new, ddir=where, quiet=1):
            return 1
        former = target.with_name(f"{package.name}.old")
        shutil.rmtree(former, ignore_errors=True)
        if target.exists():
            target.rename(former)
        new.rename(target)
        shutil.rmtree(former, ignore_errors=True)
    return 0


STEPS = {"check": check, "accept": accept, "packages": replace_packages}


def main(arguments: list[str], root: Path) -> int:
    """Run the step that the arguments name; return the exit code."""
    if len(arguments) != 1 or arguments[0] not in STEPS:
        print(f"usage: build_stamp.py {'|'.join(STEPS)}", file=sys.stderr)
        return 2
    if sys.version_info < OLDEST_PYTHON:
        needed = ".".join(map(str, OLDEST_PYTHON))
        print(f"Python {needed} or later is needed: {sys.version}", file=sys.stderr)
        return 1
    try:
        return STEPS[arguments[0]](root)
    except ValueError as error:
        print(error, file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], root=Path(__file__).resolve().parents[1]))
