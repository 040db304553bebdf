#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the program of the deploy file: the
# stand-ins of the project and of the cases, which are Python and need no more than target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps"
python3 -m compileall -q standins review/second.py
for number in 6 7 8 9 10; do
    if [ -d "review/$number" ]; then
        python3 -m compileall -q "review/$number"
    fi
done
python3 -c "import review.second, standins.instance, standins.store"
