#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 118 review/build/deaf_follower review/4/record.txt "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
