#!/bin/sh
# Builds the stand-ins and the scripts' program; run it in the root of the repository.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
