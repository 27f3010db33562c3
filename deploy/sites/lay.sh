#!/usr/bin/env bash
# Copies the operators' files that the bench needs, unchanged, into this directory of site files; git ignores them.
set -euo pipefail
cd "$(dirname "$0")"
kit="${1:-../../../given/kit/sites}"
for file in real.json wire.json unlock.txt; do
  cp -f "$kit/$file" "$file"
done
