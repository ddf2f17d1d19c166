"""willowhitch: decides, inside each front, which core server a call set-up goes to, or that it is refused."""

from softswitch.policy import Controller

__all__ = ["Controller"]
