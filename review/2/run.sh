#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
if [ ! -f ../out/Case.class ] || [ ! -f ../../target/beampoint.jar ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
child=

# Ends what this script has started, and removes its temporary folder.
end_all() {
  [ -z "$child" ] || kill "$child" 2>/dev/null
  [ -z "$child" ] || wait "$child" 2>/dev/null
  proxy=$(cat "$work/proxy.pid" 2>/dev/null)
  if [ -n "$proxy" ] && grep -q beampoint.jar "/proc/$proxy/cmdline" 2>/dev/null; then
    kill -9 "$proxy" 2>/dev/null
  fi
  rm -rf "$work"
}
trap 'end_all; exit 2' HUP INT TERM

timeout -k 5 110 java -Djava.io.tmpdir="$work" -cp ../out Case . SlowReaders &
child=$!
wait "$child"
code=$?
child=
end_all
tail -n 1 record.txt
case "$code" in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
