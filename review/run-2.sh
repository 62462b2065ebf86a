#!/bin/sh
# Runs one case: run-2.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the case runs without its disruption.
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$1
standin=$root/target/review-2/standin
if [ ! -x "$standin" ] || [ ! -x "$root/target/release/task-placer" ]; then
    echo "run the build of deploy/balancer.toml and review/build-2.sh first"
    exit 2
fi
temp=$(mktemp -d) || exit 2
CASE_DIR=$temp "$standin" "$2" "$root" "$folder/record.txt" "${TROUBLE:-1}" &
pid=$!
trap 'kill "$pid" 2>/dev/null' TERM INT
wait "$pid"
code=$?
# The stand-in ends its placers itself, unless it was ended from outside.
for left in $(cat "$temp/pids" 2>/dev/null); do
    if [ -r "/proc/$left/cmdline" ] && tr "\0" " " < "/proc/$left/cmdline" | grep -q task-placer; then kill -9 "$left"; fi
done
rm -rf "$temp"
[ "$code" -le 1 ] || code=2
exit "$code"
