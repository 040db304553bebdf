#!/bin/sh
# Runs the case; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 exec python3 review/15/case.py
