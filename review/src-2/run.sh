#!/bin/sh
# Runs a case: run.sh CLASS FOLDER, from the root. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. However the case ends, no process and no temporary folder of it is left.
[ -f target/beampoint.jar ] && [ -f "target/review-2/$1.class" ] || { echo "not built" >&2; exit 2; }
: > "$2/record.txt" || exit 2
temporary=$(mktemp -d) || exit 2
clean() {
  kill -KILL "$case" 2> /dev/null
  for process in $(sed -n 's/.*started proxy .*, process \([0-9]*\)$/\1/p' "$2/record.txt"); do
    grep -q beampoint.jar "/proc/$process/cmdline" 2> /dev/null && kill -KILL "$process"
  done
  rm -rf "$temporary"
}
java -Xmx3g -Djava.net.preferIPv4Stack=true -Djava.io.tmpdir="$temporary" -cp target/review-2 "$1" "$2" &
case=$!
trap 'clean "$1" "$2"; exit 2' TERM INT HUP
wait "$case"
result=$?
clean "$1" "$2"
# The machine's own failures exit with 1 too: a verdict counts only if the case has written it to its record.
case "$result" in
  0) grep -q 'the rule held$' "$2/record.txt" || result=2 ;;
  1) grep -q 'the rule was broken$' "$2/record.txt" || result=2 ;;
  *) result=2 ;;
esac
exit "$result"
