#!/bin/sh
# Builds the stand-ins that the scripts start. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")"
GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -buildvcs=false -o ../target/review/harness .
