#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start: one program, without libraries.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig-2 review/rig-2/main.rs
