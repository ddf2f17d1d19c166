"""Both wires of the protocol page: binary messages of quote engines, SIP messages of callers."""

import struct

SETUP, PROGRESS, ANSWER, RELEASE, HEARD, STATE, TEST, TESTED = 1, 6, 9, 12, 16, 43, 52, 53
NAMES = {
    SETUP: "set-up",
    PROGRESS: "progress",
    ANSWER: "answer",
    RELEASE: "release",
    HEARD: "release heard",
    STATE: "state",
    TEST: "test",
    TESTED: "test passed",
}
CLASS, LEFT, NUMBER, NOTE, REPORT, CAUSE, DESCRIPTION = 3, 5, 11, 17, 21, 31, 33
NO_CALL = "00" * 8
LARGEST = 16_384  # bytes of one message
HEADER = 9  # bytes of type and call


class UnreadableError(Exception):
    """A message that does not have the form of the protocol page."""


def encode(kind: int, call: str, *parameters: tuple[int, bytes]) -> bytes:
    """Returns one binary message with its length."""
    body = bytes((kind,)) + bytes.fromhex(call)
    for code, value in parameters:
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def decode(body: bytes) -> tuple[int, str, dict[int, bytes]]:
    """Returns type, call and parameters of a message without its length."""
    if len(body) < HEADER or body[0] not in NAMES:
        raise UnreadableError(body[:16].hex())
    parameters: dict[int, bytes] = {}
    rest = body[HEADER:]
    while rest:
        if len(rest) < 3:
            raise UnreadableError(body[:16].hex())
        code, size = struct.unpack(">BH", rest[:3])
        if len(rest) < 3 + size:
            raise UnreadableError(body[:16].hex())
        parameters[code] = rest[3 : 3 + size]
        rest = rest[3 + size :]
    if body[0] == RELEASE and len(parameters.get(CAUSE, b"")) != 1:
        raise UnreadableError(body[:16].hex())
    return body[0], body[1:HEADER].hex(), parameters


def request(method: str, uri: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns one SIP request."""
    lines = [f"{method} {uri} SIP/2.0", "Via: SIP/2.0/TCP peer"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def response(code: int, call: str, cseq: str) -> bytes:
    """Returns one SIP response without a body."""
    lines = [f"SIP/2.0 {code} OK", "Via: SIP/2.0/TCP peer", f"Call-ID: {call}", f"CSeq: {cseq}"]
    return "\r\n".join([*lines, "Content-Length: 0", "", ""]).encode()


class SipMessage:
    """A received SIP message."""

    def __init__(self, head: str) -> None:
        self.start, *lines = head.split("\r\n")
        self.headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        self.body = b""

    @property
    def size(self) -> int:
        """Bytes of the body."""
        return int(self.headers.get("content-length", "0"))

    @property
    def call(self) -> str:
        """The call's id."""
        return self.headers.get("call-id", "").lower()

    @property
    def is_response(self) -> bool:
        """Whether it answers a request."""
        return self.start.startswith("SIP/")

    @property
    def code(self) -> int:
        """The status code of a response."""
        return int(self.start.split()[1])

    @property
    def method(self) -> str:
        """The method of a request, or the one that a response answers."""
        if self.is_response:
            return (self.headers.get("cseq", "").split() or ["?"])[-1]
        return (self.start.split() or ["?"])[0]
