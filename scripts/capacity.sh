#!/usr/bin/env bash
# Measures the slopes and rewrites docs/CAPACITY.md and docs/capacity.svg.
# Takes about four minutes; starts at most 55 processes.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
go build -o "$work/" ./cmd/lavenderring ./cmd/standin ./cmd/capacity
"$work/capacity" --binaries "$work" "$@"
