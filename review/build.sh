#!/bin/sh
# Builds the stand-ins of all scripts.
set -e
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod go build -o target/ ./cmd/...
