"""The command line, its client of the operator interface, and readers of trace and log files."""
