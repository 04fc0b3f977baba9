#!/usr/bin/env bash
# Runs the fuzz tests one after the other, each for the given time.
set -euo pipefail
cd "$(dirname "$0")/.."
time=${1:-30s}
{ grep -rlE "^func Fuzz" --include="*_test.go" . || true; } | sort | while read -r file; do
	for name in $(sed -nE 's/^func (Fuzz[A-Za-z0-9_]*)\(.*/\1/p' "$file"); do
		go test -run '^$' -fuzz "^$name\$" -fuzztime "$time" "$(dirname "$file")" </dev/null
	done
done
