#!/bin/sh
# Builds the stand-ins of the cases, with the standard library alone. The programs under test are those of the deploy
# file's build. Run from anywhere.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review/case-$number" "$case"
done
