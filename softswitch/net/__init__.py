"""The wires: SIP and WebSocket callers, quote engines, the notice board."""
