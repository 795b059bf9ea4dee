#!/usr/bin/env bash
# Compiles the stand-ins of the cases, the project's own too. Needs nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review
