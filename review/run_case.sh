#!/bin/sh
# Runs case N: run_case.sh N. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/.." || exit 2
case_number=$1
program=target/review/case$case_number
if [ ! -x "$program" ] || [ ! -x target/release/task-placer ]; then
  echo "build first: the command of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
child=
# Ends the case and every placer that it has started, by their process ids.
end_processes() {
  if [ -n "$child" ]; then
    kill -TERM "$child" 2>/dev/null
  fi
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      kill -KILL "$pid" 2>/dev/null
    done <"$folder/pids"
  fi
  rm -rf "$folder"
}
trap end_processes EXIT
trap 'exit 2' INT TERM
RECORD="$PWD/review/$case_number/record.txt" CASE_TMP="$folder" timeout -k 2 115 "$program" &
child=$!
wait "$child"
status=$?
child=
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
