#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and the following folders. It needs the compiler only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${RUSTC:-rustc}" --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
