#!/bin/sh
# Builds the stand-ins of the second review, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" != common ]; then
        rustc -O --edition 2024 -o "target/review-2/$name" "$source"
    fi
done
