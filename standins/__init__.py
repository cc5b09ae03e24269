"""Small stand-ins for what lies outside the system, used by tests, demo and load alike."""
