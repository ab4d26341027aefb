#!/usr/bin/env bash
# The one test command: format, vet, linter, build as deployed, tests with fixed seeds.
# Tests that KNOWN-RED.txt names, and only they, have to fail.
set -euo pipefail
cd "$(dirname "$0")"
command -v go >/dev/null || export PATH="$PATH:/usr/local/go/bin"
if ! command -v gcc >/dev/null; then
  apt-get update && apt-get install -y gcc libc6-dev
fi
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted" >&2
  exit 1
fi
go mod verify
go vet ./...
go tool staticcheck ./...
go build -ldflags=-linkmode=external -o target/lichenstair ./cmd/lichenstair
ldd target/lichenstair | grep -q 'libc\.so' || { echo "not linked against the system's C library" >&2; exit 1; }
go run ./internal/knownred
