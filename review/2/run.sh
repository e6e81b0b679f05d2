#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ternpick ] && [ -x target/review/case-2 ] || exit 2
exec target/review/case-2 review/2/record.txt
