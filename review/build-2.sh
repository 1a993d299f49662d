#!/bin/bash
# The stand-ins of the second review are Python modules of the standard library only;
# nothing is compiled. They need the programs of the build line in deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/sassafraswinch_platform
python3 - <<"PYTHON"
import ast
from pathlib import Path

for file in Path("review/standins_2").glob("*.py"):
    ast.parse(file.read_text())
PYTHON
