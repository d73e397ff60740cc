#!/usr/bin/env bash
# Starts a small fleet on loopback addresses with its stand-ins, sends requests,
# prints an answer and its bill, and stops everything in an orderly way.
# Needs Go. All files go to a temporary folder, named at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
mkdir -p "$work/bin"
go build -o "$work/bin/" ./cmd/...
export LAVENDERRING_TOKEN=trial-token
token_hash=$(printf %s "$LAVENDERRING_TOKEN" | sha256sum | cut -d' ' -f1)
platform=127.0.0.1:9000
instances=()
standins=()

cleanup() {
  for pid in ${instances[@]+"${instances[@]}"} ${standins[@]+"${standins[@]}"}; do
    kill "$pid" 2>/dev/null || true
  done
}
trap cleanup EXIT

standin() {
  "$work/bin/standin" "$@" 2>>"$work/standins.log" &
  standins+=($!)
}

# The stand-ins of examples/sirajganj.toml.
standin platform --listen $platform
for i in 0 1 2 3 4 5 6 7 8 9; do
  standin engine --listen "127.0.0.$((11 + i % 3)):$((9101 + i))" --token-millis 5
done
for i in 0 1 2; do
  standin plain --listen "127.0.0.$((11 + i)):$((9201 + i))"
done

# Three instances, one in each failure domain.
for i in 1 2 3; do
  domain=$(printf 'abc' | cut -c$i)
  cat >"$work/instance-$i.toml" <<TOML
name = "instance-$i"
domain = "$domain"
caller_address = "127.0.0.1$i:8080"
peer_address = "127.0.0.1$i:8081"
admin_address = "127.0.0.1$i:8082"
platform_address = "$platform"
admin_token_sha256 = "$token_hash"
TOML
  "$work/bin/lavenderring" serve "$work/instance-$i.toml" 2>"$work/instance-$i.log" &
  instances+=($!)
done
for i in 1 2 3; do
  for _ in $(seq 100); do
    curl -fs "http://127.0.0.1$i:8082/readyz" >/dev/null 2>&1 && break
    sleep 0.1
  done
done

echo "== configuration"
"$work/bin/lavenderring" config apply --platform $platform examples/sirajganj.toml

echo "== a crew asks; the answer comes as a stream"
for _ in $(seq 50); do
  curl -s -D "$work/head" -H "Authorization: Bearer crew-north-key" -d \
    '{"model":"leak-report","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Moisture 34% behind the tiles: leak or condensation?"}]}' \
    http://127.0.0.12:8080/v1/chat/completions >"$work/answer"
  grep -q '^HTTP/1.1 200' "$work/head" && break
  sleep 0.1
done
cat "$work/answer"
request=$(tr -d '\r' <"$work/head" | sed -n 's/^X-Request-Id: //Ip')

echo "== the desk assigns a job, twice with one key, at two instances"
for i in 1 3; do
  curl -s -H "Authorization: Bearer head-office-key" -H "Idempotency-Key: job-4711" \
    -d '{"crew":"north","site":"Station Road 7"}' "http://127.0.0.1$i:8080/services/dispatch/jobs"
  echo
done

echo "== the stream's bill"
for _ in $(seq 100); do
  "$work/bin/lavenderring" status --admin 127.0.0.11:8082 "bills?request=$request" 2>/dev/null |
    tee "$work/bill" | grep -q '"outcome": "ran"' && break
  sleep 0.2
done
cat "$work/bill"

echo "== planned stop"
for pid in "${instances[@]}"; do kill -TERM "$pid"; done
for pid in "${instances[@]}"; do wait "$pid" && echo "exit 0"; done
instances=()
echo "== the stream's time line"
"$work/bin/lavenderring" timeline --request "$request" "$work"/instance-*.log
echo "== files are in $work"
