"""Decides which waiting tasks start on which workers. Reads no clock and does no I/O."""
