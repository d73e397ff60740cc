#!/usr/bin/env bash
# Runs every check: format, vet, staticcheck, committed message code, tests with
# the race detector. Needs Go and a C compiler; fetches modules by itself.
# Tests named in KNOWN-RED.txt may fail; they are printed.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l cmd pkg platform test)
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
for proto in $(find pkg -name '*.proto'); do
  for generated in "${proto%.proto}.pb.go" "${proto%.proto}_drpc.pb.go"; do
    [ -f "$generated" ] || { echo "missing $generated; run generate.sh"; exit 1; }
  done
done

skip=""
if [ -s KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  skip=$(cut -d' ' -f1 KNOWN-RED.txt | paste -sd'|' -)
fi
# Virtual fleets at their full size: the race detector takes some thirty times as long.
go test ${skip:+-skip "^($skip)\$"} ./pkg/follow
# Tests of memory, which the race detector multiplies, one at a time and apart from all others.
go test -timeout 20m ${skip:+-skip "^($skip)\$"} -run 'Crowd|SmallPieces' ./test
go test -race -timeout 20m ${skip:+-skip "^($skip)\$"} ./...
