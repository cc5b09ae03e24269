"""Decides which commands are committed: Raft among the controllers, and its durable log."""
