"""Decides how many tasks each team may run at each entry, and on whose authority."""
