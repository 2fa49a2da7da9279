#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. They use the standard library alone, so that no network
# is needed.
set -e
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --release --offline --locked
