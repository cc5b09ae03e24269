"""Example fleets in typed Python; each module prints JSON for `geraniumtrack apply`."""
