#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python without libraries, so they are compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins review/[123]
