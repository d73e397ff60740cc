#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run it from the repository's root, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for name in review/_src2/*/; do
  name=$(basename "$name")
  [ "$name" = kit ] || go build -o "target/review2-$name" "./review/_src2/$name"
done
