"""A randomized soak test: the real programs run as separate processes, and faults are injected.

`python -m soak run --seed 7` runs the test with one seed, `python -m soak many --first 1
--count 50` with a range of seeds. The same seed gives the same schedule of faults; how the
processes react differs between runs, as it depends on timing.
"""
