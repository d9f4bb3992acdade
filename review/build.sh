#!/bin/sh
# Builds the stand-ins and the driver of the scripted cases. Needs no network.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
