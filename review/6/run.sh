#!/bin/sh
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run.
exec python3 -S -B "$(dirname "$0")/case.py"
