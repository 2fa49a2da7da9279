#!/bin/sh
# Builds the stand-ins that the cases start. They have no dependencies, so that no network is needed.
set -eu
cd "$(dirname "$0")/stand-ins"
exec cargo build --release --offline --locked
