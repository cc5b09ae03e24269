#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. exec timeout -k 5 118 python3 -m review.8.case
