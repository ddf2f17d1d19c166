"""Limits of calls, as pure decisions: events and times in, admission out. No I/O, and no clock is read."""
