#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of deploy/balancer.toml. They need
# rustc and its standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/case.rs" ]; then
        rustc --edition 2021 -O -o "target/review-2/case-${case#review/}" "$case/case.rs"
    fi
done
