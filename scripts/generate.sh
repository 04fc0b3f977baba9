#!/usr/bin/env bash
# Regenerates the code of every .proto file of the repository. Needs protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN=$bin go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
for proto in internal/*/pb/*.proto; do
	(
		cd "$(dirname "$proto")"
		PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
			--go-drpc_out=. --go-drpc_opt=paths=source_relative "$(basename "$proto")"
	)
done
