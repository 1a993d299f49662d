#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
# A failed import would end Python with 1.
python3 -c 'import sys; sys.path.insert(0, ".."); import standins.fleet' || exit 2
exec python3 case.py
