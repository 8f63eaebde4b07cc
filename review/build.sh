#!/bin/sh
# Builds the stand-ins of the cases; they need only the standard library.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review
