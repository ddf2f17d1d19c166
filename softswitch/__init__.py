"""willowhitch, a softswitch: selects an endpoint for each call setup, or rejects the setup."""

from softswitch.policy.controller import Controller

__all__ = ["Controller"]
