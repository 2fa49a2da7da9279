#!/bin/sh
exec "$(dirname "$0")/../stand-ins-2/run-case" gone-clients "$(dirname "$0")"
