#!/bin/sh
# Builds the stand-ins of this review, which use only the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin-3 review/standin-3/main.rs
