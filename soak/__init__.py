"""A randomized soak: the real programs as separate processes, and faults from outside.

`python -m soak run --seed 7` plays one seed; `python -m soak many --first 1 --count 50` plays a
range. The same seed plans the same faults; what the processes make of them differs in time.
"""
