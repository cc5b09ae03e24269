#!/bin/sh
# Builds what the scripts of the cases start besides the two programs: the project's stand-ins, the
# proxy of its soak, and the shared parts of the scripts. All of them are Python and use the
# libraries that the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. python3 -c "
import standins.machines, standins.worker, soak.programs, soak.proxy, review.common.rig
" && mkdir -p target/review
