#!/bin/sh
# Plays the case. With TROUBLE=0 there is no disruption. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/junctionfold ] || [ ! -x review/fleet-2/bin/fleet-2 ]; then
	echo "build with the line of deploy/system.toml and review/build-2.sh first"
	exit 2
fi
exec review/fleet-2/bin/fleet-2 recover review/9/record.txt
