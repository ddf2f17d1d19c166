"""willowhitch: decides, inside each front, which core server a call set-up goes to, or that it is refused."""

from willowhitch.policy import Controller

__all__ = ["Controller"]
