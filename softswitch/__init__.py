"""willowhitch: decides, inside each front, which core server a call set-up goes to, or that it is refused."""

from softswitch.policy.controller import Controller

__all__ = ["Controller"]
