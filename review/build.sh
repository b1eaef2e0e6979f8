#!/usr/bin/env bash
# The stand-ins are plain Python: they need nothing but the interpreter. This compiles
# them, so that an error shows here and not in a run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q rig [0-9]*/
