#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need Python 3.11 and its
# standard library only, so that compiling finds what this Python lacks.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review/standins2 review/6 review/7 review/8 \
    review/9 review/10
