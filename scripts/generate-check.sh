#!/usr/bin/env bash
# Regenerates the code of the control messages and fails when the committed code
# differs. It does not change the working tree.
set -euo pipefail
cd "$(dirname "$0")/.."

before=$(mktemp -d)
cp -p --parents internal/*/pb/*.pb.go "$before"
restore() {
	cp -rp "$before"/. .
	rm -rf "$before"
}
trap restore EXIT

scripts/generate.sh
# Ignores the protoc version in the header: it is that of the machine and does
# not affect the generated code.
for file in internal/*/pb/*.pb.go; do
	if ! diff -u -I '^// *[-]* *protoc  *v' "$before/$file" "$file"; then
		echo "generate-check: $file is out of date; run make generate" >&2
		exit 1
	fi
done
