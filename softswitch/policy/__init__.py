"""Which endpoint a call goes to, or that it is rejected (docs/design.md). Types: softswitch/interface.py."""
