#!/usr/bin/env bash
# Fails when gofmt would change a file.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(find . -name '*.go' -not -path './.git/*' -print0 | xargs -0 gofmt -l)
if [ -n "$files" ]; then
	printf 'gofmt would change:\n%s\n' "$files" >&2
	exit 1
fi
