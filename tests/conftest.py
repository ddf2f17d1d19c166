"""Drawn tests draw the same each time: one verdict for one tree."""
from hypothesis import settings

settings.register_profile("same", derandomize=True, database=None, deadline=None)
settings.load_profile("same")
