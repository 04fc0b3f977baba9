#!/usr/bin/env bash
# Regenerates the code of the control messages and fails when the committed code
# differs. The working tree is left as it was.
set -euo pipefail
cd "$(dirname "$0")/.."
generated=internal/peer/pb

before=$(mktemp -d)
cp -p "$generated"/*.pb.go "$before"
restore() {
	cp -p "$before"/*.pb.go "$generated"
	rm -rf "$before"
}
trap restore EXIT

"$generated/generate.sh"
# The version of protoc is that of the machine and changes nothing else.
for file in "$generated"/*.pb.go; do
	if ! diff -u -I '^// *[-]* *protoc  *v' "$before/$(basename "$file")" "$file"; then
		echo "generate-check: $file is out of date; run make generate" >&2
		exit 1
	fi
done
