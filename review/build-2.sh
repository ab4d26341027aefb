#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 8 start, beside the build of the deploy file: the stand-ins,
# and the version in production that deploy/service.toml names, from the repository's history. The latter
# is built with the present go.mod, so that no further library is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v go >/dev/null || export PATH="$PATH:/usr/local/go/bin"
go build -o target/review2 ./review/harness2
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
root=$PWD
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
git archive "$commit" api cmd internal | tar -x -C "$dir"
cp go.mod go.sum "$dir"
(cd "$dir" && go build -buildvcs=false -ldflags=-linkmode=external -o "$root/target/lichenstair-production" ./cmd/lichenstair)
