#!/bin/sh
# Builds the stand-ins of the cases 4 to 6, and the scripts beside them, into target/review-2; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -Werror -d target/review-2 review/src-2/*.java
