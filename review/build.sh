#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The program itself is built by the
# command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
