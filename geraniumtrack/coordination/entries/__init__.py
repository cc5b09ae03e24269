"""Keeps an entry in touch with the controllers and the other entries."""
