"""Membership of the fleet: failure detection, dissemination, anti-entropy. Pure: no I/O, no clock."""
