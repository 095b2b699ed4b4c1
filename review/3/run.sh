#!/bin/sh
# Plays the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
if [ ! -x target/lycheehalld ] || [ ! -x target/cases ]; then
	echo "the build of the deploy file and review/build.sh come first" >&2
	exit 2
fi
exec target/cases shutdown "$dir/record.txt"
