"""Trunk dimensioning: loss formulas, estimates from a traffic record, and a planner. No I/O, no clock."""
