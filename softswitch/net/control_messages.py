"""Messages of the call-control API: their version, their error codes, and the reading of their fields.

The messages are described in docs/control-api.md.
"""

from __future__ import annotations

import binascii
from base64 import b64decode
from typing import Any

from softswitch.core.call import FailureReason, SetupRequest
from softswitch.interface import CallId

VERSION = 1
# Error codes: one for each failure reason of the core, and those for invalid messages.
CODES = {reason: reason.value for reason in FailureReason}
BAD_JSON, BAD_MESSAGE, BAD_VERSION = "bad_json", "bad_message", "bad_version"

Message = dict[str, Any]  # one JSON object, as sent or received


def read_number(message: Message, name: str, default: float | None = None) -> float:
    """Returns a numeric field of a message; raises ValueError if it is not a number."""
    value = message.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is no number")
    return value


def read_integer(message: Message, name: str, default: int) -> int:
    """Returns an integer field of a message; raises ValueError if it is not an integer."""
    value = read_number(message, name, default)
    if value != int(value):
        raise ValueError(f"{name} is no whole number")
    return int(value)


def read_text(message: Message, name: str, default: str | None = None) -> str:
    """Returns a string field of a message; raises ValueError if it is not a string."""
    value = message.get(name, default)
    if not isinstance(value, str):
        raise ValueError(f"{name} is no text")
    return value


def read_setup(call: CallId, message: Message) -> SetupRequest:
    """Builds the call setup that a `place` message requests; raises ValueError with the reason if invalid."""
    try:
        description = b64decode(read_text(message, "description_b64", ""), validate=True)
    except binascii.Error:
        raise ValueError("description_b64 is not base64") from None
    return SetupRequest(
        call,
        read_text(message, "class"),
        read_text(message, "number"),
        read_number(message, "patience_ms"),
        description,
        read_integer(message, "dest", -1),
        message.get("retry") is True,
        read_number(message, "width", 1),
        read_text(message, "tenant", ""),
    )
