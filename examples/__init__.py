"""Example fleets as typed Python; each prints the JSON that `geraniumtrack apply` reads."""
