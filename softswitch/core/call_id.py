"""Reads call ids. Each front and channel parses an id once, where a message arrives.

From there on an id is a `CallId`: no other code checks one, and mypy rejects a text that was not read here.
"""

from __future__ import annotations

import re

from softswitch.interface import CallId

_is_call_id = re.compile(r"[0-9a-f]{16}\Z").match


class InvalidCallIdError(ValueError):
    """A text is not the id of a call."""

    def __init__(self) -> None:
        super().__init__("the id of a call is 16 hex digits")


def parse_call_id(text: object) -> CallId:
    """Returns the id of a call; raises InvalidCallIdError if it is not 16 hex digits in lower case."""
    if isinstance(text, str) and _is_call_id(text):
        return CallId(text)
    raise InvalidCallIdError


def parse_callers_id(text: object) -> CallId:
    """Returns the id of a call as callers may write it: the same, with hex digits of either case."""
    if isinstance(text, str):
        lower = text.lower()
        if _is_call_id(lower):  # not by parse_call_id: one call less for each message of a caller
            return CallId(lower)
    raise InvalidCallIdError


def call_id_of_bytes(data: bytes) -> CallId:
    """Returns the id that the 8 bytes of a binary message encode."""
    return CallId(data.hex())
