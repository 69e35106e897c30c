#!/bin/sh
# Plays case 6 once. Build first, with the build line of deploy/system.toml and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/hillreel ] || [ ! -x target/stand2 ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh"
	exit 2
fi
exec target/stand2 cancelled review/6
