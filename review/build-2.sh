#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run it after the build of
# deploy/system.toml. It needs no network: the stand-ins use the standard library only.
set -e
cd "$(dirname "$0")/second"
for c in cmd/*/; do
	name=$(basename "$c")
	GOWORK=off GOFLAGS=-mod=mod go build -o "../../target/review-second-$name" "./cmd/$name"
done
