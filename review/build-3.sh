#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start beside the programs of the deploy file. The
# stand-ins are Python and use only its standard library, so they are compiled as a check.
set -eu
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for file in common-3/harness.py common-3/worker_process.py 1[1-5]/case.py; do
  [ -f "$file" ] || continue
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
    "$file" "$out/compiled"
done
