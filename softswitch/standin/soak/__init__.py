"""Soaks: real softswitches among stand-ins, drawn from a seed, and a checker of the rules on the wire."""
