#!/bin/sh
# Builds the stand-ins of the review cases: they need only the Python of the deploy file, and are byte-compiled.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins.py 1/case.py 2/case.py 3/case.py
