"""Network protocols: SIP and WebSocket callers, quote engines, the endpoint watch and management."""
