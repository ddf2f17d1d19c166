"""Messages of the binary link to the quote engines: a type, the call's id, and parameters with their
lengths.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from struct import error as StructError  # noqa: N812  # an exception's name
from struct import pack, unpack_from
from typing import Final

from softswitch.core.call import ReleaseCause

MAX_MESSAGE = 16_384  # bytes
CALL_AT, PARAMETERS_AT = 1, 9  # offsets: the call's id, and the first parameter
LENGTH_SIZE = 2  # bytes of the length that stands before each message
NO_CALL = "00" * 8  # the call of messages that concern none
MAX_RETRY_AFTER_DIGITS = 9
MAX_RETRY_AFTER = 10_000.0  # ms; a longer wait would keep an engine out that is well again
PASSED = 1  # cause of a probe's answer


class MessageType:
    """The types of messages, as in the protocol. Plain numbers: members of an enum are too slow to look
    up.
    """

    SETUP: Final = 1
    PROGRESS: Final = 6
    ANSWER: Final = 9
    RELEASE: Final = 12
    ACKNOWLEDGE: Final = 16
    STATE: Final = 43
    PROBE: Final = 52
    PROBE_ANSWER: Final = 53


class Parameter:
    """The codes of parameters, as in the protocol."""

    CALL_CLASS: Final = 3
    TIME_LEFT: Final = 5  # ms that the caller still waits
    NUMBER: Final = 11
    NOTE: Final = 17
    RETRY_AFTER: Final = 19  # ms that a full processor asks to be left alone
    REPORT: Final = 21
    CAUSE: Final = 31
    DESCRIPTION: Final = 33


FROM_ENGINES = frozenset(
    {
        MessageType.PROGRESS,
        MessageType.ANSWER,
        MessageType.RELEASE,
        MessageType.ACKNOWLEDGE,
        MessageType.STATE,
        MessageType.PROBE,
        MessageType.PROBE_ANSWER,
    }
)


class EngineMessageError(ValueError):
    """A message that can't be read."""


@dataclass(slots=True)
class EngineMessage:
    """One message."""

    type: int  # a MessageType
    call: str  # 16 hex digits
    parameters: dict[int, bytes] = field(default_factory=dict)  # by Parameter

    @property
    def cause(self) -> int:
        """The cause of a release, or the result of a probe; PASSED where none is given."""
        cause = self.parameters.get(Parameter.CAUSE)
        return cause[0] if cause else PASSED

    @property
    def note(self) -> str:
        """What a release adds to its cause."""
        return self.parameters.get(Parameter.NOTE, b"").decode("latin-1")

    @property
    def retry_after(self) -> float:
        """Ms that a full processor asks to be left alone; 0 where it gives none that can be read."""
        text = self.parameters.get(Parameter.RETRY_AFTER, b"")
        if not text.isdigit() or len(text) > MAX_RETRY_AFTER_DIGITS:
            return 0.0
        return min(float(text), MAX_RETRY_AFTER)

    @property
    def report(self) -> str | None:
        """The load report that comes with it."""
        report = self.parameters.get(Parameter.REPORT)
        return None if report is None else report.decode("latin-1")


@dataclass(slots=True)
class Release:
    """The end of a call, as it is sent to an engine or comes from one."""

    call: str
    cause: int

    def encode(self) -> bytes:
        """The message."""
        return encode_message(MessageType.RELEASE, self.call, (Parameter.CAUSE, bytes((self.cause & 255,))))


def encode_message(type_: int, call: str, *parameters: tuple[int, bytes]) -> bytes:
    """A message without the length that stands before it."""
    encoded = [pack(">BH", code, len(value)) + value for code, value in parameters]
    return b"".join((bytes((type_,)), bytes.fromhex(call), *encoded))


def decode_message(data: bytes, accepted: frozenset[int] = FROM_ENGINES) -> EngineMessage:
    """Reads a message; EngineMessageError if it is not complete, or of a type that is not `accepted`."""
    if len(data) < PARAMETERS_AT:
        raise EngineMessageError("shorter than its head")
    parameters = _decode_parameters(data)
    type_ = data[0]
    if type_ not in accepted:
        raise EngineMessageError("type not known")
    described = type_ != MessageType.ANSWER or Parameter.DESCRIPTION in parameters
    if not described or len(parameters.get(Parameter.CAUSE, b" ")) != 1:
        raise EngineMessageError("answer without description, or cause of no byte")
    if type_ == MessageType.RELEASE and Parameter.CAUSE not in parameters:
        raise EngineMessageError("release without cause")
    return EngineMessage(type_, data[CALL_AT:PARAMETERS_AT].hex(), parameters)


def _decode_parameters(data: bytes) -> dict[int, bytes]:
    parameters: dict[int, bytes] = {}
    at = PARAMETERS_AT
    while at < len(data):
        try:
            code, size = unpack_from(">BH", data, at)
        except StructError:
            raise EngineMessageError("parameter cut short") from None
        at += 3 + size
        if at > len(data):
            raise EngineMessageError("parameter longer than the message")
        if code in parameters:
            raise EngineMessageError("parameter given twice")
        parameters[code] = data[at - size : at]
    return parameters


def decode_partial_release(received: bytes) -> Release | None:
    """A release of which a part has come, from its length on; None if it is none, or does not name its call
    yet.

    The cause is NORMAL where it did not come.
    """
    parameters_at = LENGTH_SIZE + PARAMETERS_AT
    if len(received) < parameters_at or received[LENGTH_SIZE] != MessageType.RELEASE:
        return None
    at, cause = parameters_at, ReleaseCause.NORMAL
    while at + 3 <= len(received):
        code, size = unpack_from(">BH", received, at)
        at += 3 + size
        if code == Parameter.CAUSE and size == 1 and at <= len(received):
            cause = received[at - 1]
    return Release(received[LENGTH_SIZE + CALL_AT : parameters_at].hex(), cause)
