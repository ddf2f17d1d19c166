"""Encodes and decodes messages of the binary protocol to quote engines.

A message is a type (1 byte), the call id (8 bytes) and parameters, each a code (1 byte), a length (2 bytes)
and a value. On the wire each message is preceded by its length (2 bytes).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from struct import error as StructError  # noqa: N812  # an exception's name
from struct import pack, unpack_from
from typing import Final

from softswitch.core.call import ReleaseCause
from softswitch.core.call_id import call_id_of_bytes
from softswitch.interface import CallId

MAX_MESSAGE = 16_384  # bytes
CALL_OFFSET, PARAMETERS_OFFSET = 1, 9  # offsets of the call id and of the first parameter
LENGTH_SIZE = 2  # bytes of the length before each message
NO_CALL = CallId("00" * 8)  # call id of messages that concern no call
MAX_RETRY_AFTER_DIGITS = 9
MAX_RETRY_AFTER = 10_000.0  # ms; a longer wait would exclude an engine that has already recovered
PASSED = 1  # cause in the answer to a probe: the engine is healthy


class MessageType:
    """Message types of the protocol. Plain integers, because looking up enum members is too slow."""

    SETUP: Final = 1
    PROGRESS: Final = 6  # ignored
    ANSWER: Final = 9
    RELEASE: Final = 12
    ACKNOWLEDGE: Final = 16
    STATE: Final = 43  # sent by engines at a regular interval; a heartbeat with a load report
    PROBE: Final = 52  # requests the state of the engine
    PROBE_ANSWER: Final = 53


class Parameter:
    """Parameter codes of the protocol."""

    CALL_CLASS: Final = 3
    TIME_LEFT: Final = 5  # ms until the caller gives up
    NUMBER: Final = 11
    NOTE: Final = 17
    RETRY_AFTER: Final = 19  # ms for which an engine with a full processor requests no further setups
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
    """A message is malformed, incomplete or of an unexpected type."""


@dataclass(slots=True)
class EngineMessage:
    """A decoded message."""

    type: int  # a MessageType
    call: CallId  # 16 hex digits
    parameters: dict[int, bytes] = field(default_factory=dict)  # by Parameter

    @property
    def cause(self) -> int:
        """The cause of a release or the result of a probe; PASSED if the message has none."""
        cause = self.parameters.get(Parameter.CAUSE)
        return cause[0] if cause else PASSED

    @property
    def note(self) -> str:
        """Text that details the cause of a release; empty if there is none."""
        return self.parameters.get(Parameter.NOTE, b"").decode("latin-1")

    @property
    def retry_after(self) -> float:
        """Ms for which the engine requests no further setups; 0 if the parameter is absent or malformed."""
        text = self.parameters.get(Parameter.RETRY_AFTER, b"")
        if not text.isdigit() or len(text) > MAX_RETRY_AFTER_DIGITS:
            return 0.0
        return min(float(text), MAX_RETRY_AFTER)

    @property
    def report(self) -> str | None:
        """The load report in the message, if any."""
        report = self.parameters.get(Parameter.REPORT)
        return None if report is None else report.decode("latin-1")


@dataclass(slots=True)
class Release:
    """The release of a call, sent to an engine or received from one."""

    call: CallId
    cause: int

    def encode(self) -> bytes:
        """Encodes the release as a message."""
        return encode_message(MessageType.RELEASE, self.call, (Parameter.CAUSE, bytes((self.cause & 255,))))


def encode_message(type_: int, call: CallId, *parameters: tuple[int, bytes]) -> bytes:
    """Encodes a message, without its length prefix."""
    encoded = [pack(">BH", code, len(value)) + value for code, value in parameters]
    return b"".join((bytes((type_,)), bytes.fromhex(call), *encoded))


def decode_message(data: bytes, accepted: frozenset[int] = FROM_ENGINES) -> EngineMessage:
    """Decodes a message. Raises EngineMessageError if it is malformed or its type is not `accepted`."""
    if len(data) < PARAMETERS_OFFSET:
        raise EngineMessageError("shorter than the message header")
    parameters = _decode_parameters(data)
    type_ = data[0]
    if type_ not in accepted:
        raise EngineMessageError("unknown message type")
    described = type_ != MessageType.ANSWER or Parameter.DESCRIPTION in parameters
    if not described or len(parameters.get(Parameter.CAUSE, b" ")) != 1:
        raise EngineMessageError("answer without description, or cause that is not one byte long")
    if type_ == MessageType.RELEASE and Parameter.CAUSE not in parameters:
        raise EngineMessageError("release without cause")
    return EngineMessage(type_, call_id_of_bytes(data[CALL_OFFSET:PARAMETERS_OFFSET]), parameters)


def _decode_parameters(data: bytes) -> dict[int, bytes]:
    parameters: dict[int, bytes] = {}
    offset = PARAMETERS_OFFSET
    while offset < len(data):
        try:
            code, size = unpack_from(">BH", data, offset)
        except StructError:
            raise EngineMessageError("truncated parameter") from None
        offset += 3 + size
        if offset > len(data):
            raise EngineMessageError("parameter longer than the message")
        if code in parameters:
            raise EngineMessageError("duplicate parameter")
        parameters[code] = data[offset - size : offset]
    return parameters


def decode_partial_release(received: bytes) -> Release | None:
    """Decodes a truncated release from the bytes received so far, which start with its length.

    Returns None if the message is no release or its call id is incomplete. The cause is NORMAL if it was
    not received.
    """
    parameters_offset = LENGTH_SIZE + PARAMETERS_OFFSET
    if len(received) < parameters_offset or received[LENGTH_SIZE] != MessageType.RELEASE:
        return None
    offset, cause = parameters_offset, ReleaseCause.NORMAL
    while offset + 3 <= len(received):
        code, size = unpack_from(">BH", received, offset)
        offset += 3 + size
        if code == Parameter.CAUSE and size == 1 and offset <= len(received):
            cause = received[offset - 1]
    return Release(call_id_of_bytes(received[LENGTH_SIZE + CALL_OFFSET : parameters_offset]), cause)
