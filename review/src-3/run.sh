#!/bin/sh
# Runs one case: run.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# couldn't run. All processes that the case started end with it.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f "target/review-3/$1.class" ]; then
  echo "build first: the build of the deploy file, then review/build-2.sh" >&2
  exit 2
fi
java -Xmx512m -XX:-UsePerfData -cp target/review-3 "$1" "$2" &
pid=$!
trap 'kill "$pid" 2>/dev/null' HUP INT TERM
wait "$pid"
code=$?
while kill -0 "$pid" 2>/dev/null; do
  sleep 0.1
done
case "$code" in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
