#!/bin/sh
# Builds the stand-ins of the scripts of this review; they have no dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
