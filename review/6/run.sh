#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. A signal ends all that was started.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" python3 case.py &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
status=$?
while kill -0 "$pid" 2>/dev/null; do
    wait "$pid"
    status=$?
done
# case.py exits with 10 if the rule was broken; an error of Python's own is a 1.
case $status in
10) exit 1 ;;
0) exit 0 ;;
*) exit 2 ;;
esac
