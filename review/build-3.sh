#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/rig-3/main.rs
