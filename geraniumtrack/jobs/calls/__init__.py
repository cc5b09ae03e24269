"""Calls of callers, workers and operators, and how they reach the owner."""
