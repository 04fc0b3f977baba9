#!/usr/bin/env bash
# Installs protoc from the system's packages when it is absent.
set -euo pipefail
if command -v protoc >/dev/null; then
	exit 0
fi
root=()
if [ "$(id -u)" -ne 0 ]; then
	root=(sudo -n)
fi
export DEBIAN_FRONTEND=noninteractive
"${root[@]}" apt-get update -qq </dev/null
"${root[@]}" apt-get install -y -qq --no-install-recommends protobuf-compiler libprotobuf-dev </dev/null
