#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec review/src-2/run.sh PausedWrites review/6
