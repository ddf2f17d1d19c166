"""Fault injection between and under processes: schedules, simulations and drills that run them."""
