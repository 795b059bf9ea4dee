#!/usr/bin/env bash
# Case 7; TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
set -u
cd "$(dirname "$0")/../.."
exec python3 review/7/case.py
