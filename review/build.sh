#!/bin/sh
# Builds the stand-ins of the cases: Python from the standard library, checked by compiling.
set -e
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=../target/review python3 -m compileall -q .
