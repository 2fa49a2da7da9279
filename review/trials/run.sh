#!/bin/sh
# Plays a trial that is no case: `run.sh NAME`, a program of review/stand-ins/src/bin. Writes record.txt here.
exec "$(dirname "$0")/../run-case" "$(dirname "$0")" "$1"
