"""Soaks: real softswitches among stand-ins run a plan generated from a seed; a checker verifies the rules."""
