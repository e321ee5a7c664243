#!/usr/bin/env bash
# Runs every test of the workspace with the race detector. Tests that
# KNOWN-RED.txt names as "test: NAME" or "test: NAME/SUBTEST" are left out and
# printed by .ci/run.
set -euo pipefail
cd "$(dirname "$0")"

skip=""
if [ -s KNOWN-RED.txt ]; then
	skip=$(sed -n 's/^test: *\([^ ]*\).*/^\1$/p' KNOWN-RED.txt | sed 's#/#$/^#g' | paste -sd '|' -)
fi
go test -race -count=1 -timeout 10m ${skip:+-skip "$skip"} work
