"""Moves, maintenance and evacuation of instances."""
