"""Stand-ins for external systems, shared by the tests, the demo and the benchmarks."""
