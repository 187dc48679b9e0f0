#!/usr/bin/env bash
# Needs the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cases3 ] && [ -x target/chestnutrouter ] || exit 2
exec target/cases3 directory review/15/record.txt
