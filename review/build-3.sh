#!/bin/sh
# Builds the stand-ins of the third review, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/standin-3/main.rs
