"""Stand-ins on the protocol's wire, on loopback: quote engines, watch server, callers; and fleets of them."""
