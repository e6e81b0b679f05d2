#!/bin/sh
# Runs case 10 against the build of the deploy file and the programs of review/build-2.sh. With TROUBLE=0 it runs without
# its disruption. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/case-10
if [ ! -x "$program" ] || [ ! -x target/release/ternpick ]; then
    echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
exec "$program" "$folder/record.txt"
