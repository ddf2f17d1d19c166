"""Stand-ins on the protocol's wire, on loopback: quote engine, notice board, callers; and a fleet of them."""
