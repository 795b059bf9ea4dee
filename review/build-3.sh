#!/bin/sh
# Builds the stand-ins of the third review; run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "the build of the deploy file is missing" >&2; exit 2; }
exec python3 -m compileall -q standins review/kit3
