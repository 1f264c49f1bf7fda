#!/bin/sh
# Builds the stand-ins that the cases from folder 6 on start. They are Python with the standard library alone: it compiles them.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/cluster.py
for number in 6 7 8 9 10; do
    if test -d "review/$number"; then .venv/bin/python -m compileall -q "review/$number"; fi
done
