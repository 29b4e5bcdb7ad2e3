#!/bin/sh
# Runs the case "seal": 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/harness ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
exec target/review/harness -case seal -out "$here"
