#!/bin/bash
# Runs the case whose folder is given. Exit code 1: the rule was broken; 0: it held; 2: could not run.
# TROUBLE=0 leaves out the disruption. All processes that the case starts are its children; it ends
# them itself, and this script ends what would be left of its process group.
review="$(cd "$(dirname "$0")/.." && pwd)"
case_folder="$review/$1"
run=$(sed -n 's/^run *= *"\([^ "]*\).*/\1/p' "$review/../deploy/service.toml")
program="$review/../$run"
[ -x "$review/build/case$1" ] && [ -x "$program" ] || { echo "not built"; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder" || exit 2
setsid timeout -k 2 118 "$review/build/case$1" "$case_folder/record.txt" "$program" "$folder" \
  "${TROUBLE:-1}" &
pid=$!
trap 'kill -TERM -- "-$pid" 2>/dev/null; rm -rf "$folder"; exit 2' INT TERM
wait "$pid"
code=$?
kill -KILL -- "-$pid" 2>/dev/null
[ -n "$KEEP_LOGS" ] && cp "$folder"/*.log "$KEEP_LOGS"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
