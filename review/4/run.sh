#!/bin/sh
# Plays the case once; TROUBLE=0 leaves out the disruption. Run review/build.sh before.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/recover review/4 target/lavenderring
