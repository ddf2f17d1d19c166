"""The softswitch without its wires: calls, timers, rules and counters. Nothing in here knows a socket."""
