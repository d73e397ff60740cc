#!/usr/bin/env bash
# Regenerates the committed message code. Needs Debian's protobuf-compiler; the
# plug-ins are tools of go.mod. Build and CI do not need this script.
set -euo pipefail
cd "$(dirname "$0")"
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
for proto in pkg/budget/budgetpb/budget.proto pkg/member/memberpb/member.proto pkg/bill/billpb/bill.proto pkg/prepaid/prepaidpb/prepaid.proto pkg/follow/followpb/follow.proto pkg/quarantine/quarantinepb/quarantine.proto pkg/tunnel/tunnelpb/tunnel.proto pkg/origin/originpb/origin.proto; do
  PATH="$tools:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
    --go-drpc_out=. --go-drpc_opt=paths=source_relative "$proto"
done
