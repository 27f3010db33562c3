#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
if [ ! -f ../out/Case.class ] || [ ! -f ../../target/beampoint.jar ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
timeout -k 5 110 java -cp ../out Case . LongWrites
code=$?
[ "$code" -le 1 ] || code=2
tail -n 1 record.txt
exit "$code"
