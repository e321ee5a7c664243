#!/usr/bin/env bash
# Regenerates the committed protocol code. Needs protoc 3.21, protoc-gen-go
# v1.36 and protoc-gen-go-drpc v1.1 on PATH; the build does not need them.
set -euo pipefail
cd "$(dirname "$0")"
protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. peer.proto entry.proto
