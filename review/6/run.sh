#!/bin/bash
# TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case couldn't run or was stopped.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1 python3 case.py "--trouble=${TROUBLE:-1}" &
child=$!
trap 'kill -TERM "$child"' TERM INT HUP
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    code=$?
done
# Python itself ends with 1 after an error, so a broken rule has a code of its own.
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
