#!/bin/sh
# Builds the stand-ins of the scripts 6 to 10 into review/bin. They need the Go standard library only.
set -eu
cd "$(dirname "$0")/harness-2"
exec go build -o ../bin/harness-2 .
