"""Stand-ins on loopback with the real wire protocols: quote engine, watch server, callers, and a fleet."""
