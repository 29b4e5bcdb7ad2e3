#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 and later start.
set -e
cd "$(dirname "$0")/fleet-2"
GOWORK=off go build -o bin/fleet-2 .
