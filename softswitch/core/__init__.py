"""The core of the softswitch: calls, timers, rules and counters, independent of sockets and protocols."""
