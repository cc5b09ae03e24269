"""Decides which pool each instance serves and when it is taken out, from what was observed."""
