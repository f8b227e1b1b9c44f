#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, beside the build of the deploy file: the stand-ins, the project's own too.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review
