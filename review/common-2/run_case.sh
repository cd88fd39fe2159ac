# Sourced by the run.sh of each case, with `folder` set to the folder of the case.
# Exit code: 1: the rule was broken; 0: it held; 2: the case couldn't run.
root=$(cd "$folder/../.." && pwd)
driver=$root/target/review-2/case-$(basename "$folder")
program=$root/target/mosspath
if [ ! -x "$driver" ] || [ ! -x "$program" ]; then
  echo "not built: $driver or $program" >&2
  exit 2
fi
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
cd "$root" || exit 2
timeout -k 2 116 "$driver" "$folder" "$program" "$temp" &
child=$!
trap 'kill "$child"' HUP INT TERM
wait "$child"
code=$?
trap '' HUP INT TERM
wait "$child" 2> /dev/null  # if the wait was interrupted
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
