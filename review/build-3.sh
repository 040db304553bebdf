#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start, after the build of the deploy file. They are
# Python modules that run in the process of a case; this compiles them and checks that they load.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review || exit 1
PYTHONPYCACHEPREFIX="$PWD/target/review" python3 -m compileall -q standins/instance.py \
    standins/store.py standins/objects.py standins/node_caller.py review/third.py review/1[1-5] || exit 1
PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 exec python3 -c \
    "import review.third, standins.instance, standins.store"
