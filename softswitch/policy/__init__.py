"""Selects an endpoint for each call, or rejects the call (docs/design.md). Types: softswitch/interface.py."""
