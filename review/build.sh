#!/bin/sh
# Builds the stand-ins: Python on the standard library alone, so there is only byte code to write.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
