#!/bin/sh
# Builds the stand-ins of the cases into review/out, with the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -d out src/*.java
