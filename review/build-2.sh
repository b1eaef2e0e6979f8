#!/bin/sh
# Builds the stand-ins of review/4 to review/8: they are plain Python, so that they are
# only compiled, into target/. Needs the interpreter alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
for file in review/rig-2/*.py review/[4-8]/*.py; do
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile="target/review-2.pyc", doraise=True)' "$file"
done
rm -f target/review-2.pyc
