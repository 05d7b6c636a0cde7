#!/usr/bin/env bash
# Builds the stand-ins of the scripts; they need nothing but Python 3.11.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins 1 2 3 4 5
