#!/usr/bin/env bash
# Builds the stand-ins that the cases start: Python modules of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
python3 -c "import review.stand_ins"
