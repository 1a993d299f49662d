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
    paths = ["platform", *(f"packages/{name.name}" for name in _packages())]
    ended = subprocess.run(
        [sys.executable, "-c", HANG_UP_AT_START],
        env={
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join(str(ROOT / path) for path in paths),
            "SASSAFRASWINCH_NODE_FILE": "/nowhere/sidecar.yaml",
        },
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode != -signal.SIGHUP
    assert ended.returncode == 2
    assert "/nowhere/sidecar.yaml" in ended.stderr


def _packages():
    return (path for path in (ROOT / "packages").iterdir() if path.is_dir())
