#!/bin/sh
# Builds the stand-ins of the scripts into review/bin. They need the Go standard library only.
set -eu
cd "$(dirname "$0")/harness"
exec go build -o ../bin/harness .
