#!/bin/sh
# The stand-ins of the second review are Python: nothing is built, but all that the scripts load is
# checked. Case 8 uses the stand-ins of the first review, the project's own and the proxy of its soak, with
# the libraries that the build of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for file in common-2/harness.py 6/case.py 8/case.py 9/case.py 10/case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "review/$file"
done
PYTHONPATH=target/deps:. python3 -c "
import standins.machines, standins.worker, soak.programs, soak.proxy, review.common.rig
"
mkdir -p target/review
