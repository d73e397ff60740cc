#!/bin/sh
# Builds the programs of the review's scripts, with every stand-in that they start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in review/_src/*/; do
  name=$(basename "$program")
  [ "$name" = kit ] && continue
  go build -o "target/review/$name" "./review/_src/$name"
done
