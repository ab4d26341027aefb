#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The program itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v go >/dev/null || export PATH="$PATH:/usr/local/go/bin"
go build -o target/review/harness ./review/harness
