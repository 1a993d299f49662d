"""The adapter's program as a process."""

import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]

HANG_UP_AT_START = """
import os, signal, sys
from sassafraswinch_platform.__main__ import main

class HangUp:
    def find_spec(self, name, path=None, target=None):
        if name == "sassafraswinch_platform.program":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, HangUp())
sys.exit(main())
"""


def test_settings_that_change_while_the_program_starts_dont_end_it():
    """The settings change right after a restart, and the platform says so by SIGHUP
    while the libraries are still imported: the process dies without a line.
    """
    ended = run_python(HANG_UP_AT_START)
    assert ended.returncode != -signal.SIGHUP
    assert ended.returncode == 2
    assert "/nowhere/sidecar.yaml" in ended.stderr


def test_start_imports_what_it_needs_and_no_more():
    """All hosts lose power at once, and callers wait for their sidecars. Most of a
    start was the import of libraries that only reports and other programs use.
    """
    ended = run_python(
        "import sys, sassafraswinch_platform.program\n"
        "print(*(sys.modules.keys() & set(sys.argv[1:])))",
        "pydantic",
        "prometheus_client",
        "hdrh.histogram",
        "yaml",
        "sassafraswinch.messages",
        "sassafraswinch_node.link_protocol.ttypes",
    )
    assert (ended.returncode, ended.stdout.split()) == (0, [])


def run_python(script, *arguments):
    """Run a script with the product's packages on the path."""
    paths = ["platform", *(f"packages/{name.name}" for name in _packages())]
    return subprocess.run(
        [sys.executable, "-c", script, *arguments],
        env={
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join(str(ROOT / path) for path in paths),
            "SASSAFRASWINCH_NODE_FILE": "/nowhere/sidecar.yaml",
        },
        capture_output=True,
        text=True,
        check=False,
    )


def _packages():
    return (path for path in (ROOT / "packages").iterdir() if path.is_dir())
