"""Limits on calls, as pure functions of events and times: no I/O, and no clock is read."""
