#!/bin/sh
# Builds the stand-ins of the cases: they are Python programs, which only need to be compiled.
cd "$(dirname "$0")/.." && .venv/bin/python -m compileall -q review
