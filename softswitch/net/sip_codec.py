"""Parses SIP messages and call setups, and encodes SIP responses and BYE requests.

An INVITE has the call class in Subject, the ms for which the caller waits in X-Patience, and the tenant in
Organization. X-Facts (`name:value;...`) has the destination cell (`dest`) and the number of circuits
(`width`). X-Retry marks a redial. A rejection has the retry-after time in X-Later-Ms.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from softswitch.core.call import ReleaseCause, SetupRequest
from softswitch.core.call_id import InvalidCallIdError, parse_callers_id
from softswitch.interface import CallId

MAX_MESSAGE = 16_384  # bytes of head and body
MAX_CONTENT_LENGTH_DIGITS = 30
# Headers that may not appear twice with different values.
SINGLE_HEADERS = ("content-length", "call-id", "cseq", "subject", "x-patience", "x-facts")
COMPACT_NAMES = {"v": "via", "f": "from", "t": "to", "i": "call-id", "l": "content-length", "s": "subject"}
# Request headers that a response repeats, besides Via.
ECHOED_HEADERS = {"from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq"}
# The other headers whose values are read. All further ones are dropped as they arrive: a message of 16 KiB
# has room for thousands of short headers, and each string that is stored takes some fifty bytes.
READ_HEADERS = ("content-length", "subject", "x-patience", "x-facts", "x-retry", "organization", "reason")
STORED_HEADERS = frozenset((*ECHOED_HEADERS, *READ_HEADERS))
# The usual spellings of header names. A look-up here is faster than `normalized_name`.
COMMON_SPELLINGS = {
    name: name.lower()
    for name in ("Via", "From", "To", "Call-ID", "CSeq", "Subject", "X-Patience", "X-Facts", "X-Retry")
} | {"Content-Length": "content-length", "Content-Type": "content-type", "Max-Forwards": "max-forwards"}
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    405: "Method Not Allowed",
    408: "Request Timeout",
    481: "Call Does Not Exist",
    482: "Loop Detected",
    487: "Request Terminated",
    500: "Server Failure",
    503: "Service Unavailable",
    513: "Message Too Large",
}
STATUS_LINES = {code: f"SIP/2.0 {code} {phrase}\r\n".encode() for code, phrase in REASON_PHRASES.items()}
CALLED_NUMBER = re.compile(r"sips?:([^@\s]+)@", re.I)
# Stricter than float(), which also accepts nan, 1_0, 1e99 and non-ASCII digits.
DECIMAL = re.compile(r"-?[0-9]{1,9}(\.[0-9]{1,9})?\Z")
RELEASE_CAUSE = re.compile(r"cause\s*=\s*(\d+)", re.I)


class SipParseError(Exception):
    """A message that cannot be parsed, which leaves the start of the next message unknown."""

    def __init__(self, reason: str, code: int = 400) -> None:
        super().__init__(reason)
        self.code = code  # status code of the response


def normalized_name(name: str) -> str:
    """Returns a header name in lower case, with a compact form expanded."""
    name = name.strip().lower()
    return COMPACT_NAMES.get(name, name)


class SipMessage:
    """A SIP message whose head is complete or still arriving."""

    __slots__ = ("headers", "size", "start_line", "vias")

    def __init__(self) -> None:
        self.start_line = ""
        # Values of the STORED_HEADERS by lower-case name; the first value of each.
        self.headers: dict[str, str] = {}
        self.vias = bytearray()  # Via header lines, as a response repeats them
        self.size = 0  # bytes of the head received so far

    @property
    def call_id(self) -> CallId | None:
        """The call that the message names; None if it names none, or not by the id of a call."""
        try:
            return parse_callers_id(self.headers.get("call-id"))
        except InvalidCallIdError:
            return None

    @property
    def is_response(self) -> bool:
        """Whether this is a response to a request that the softswitch sent."""
        return self.start_line.startswith("SIP/")

    def add_header(self, header: str) -> None:
        """Adds one header, given as its line."""
        name, colon, value = header.partition(":")
        if not colon:
            raise SipParseError("header line without a colon")
        name = COMMON_SPELLINGS.get(name) or normalized_name(name)
        value = value.strip()
        if name == "via":
            self.vias += f"Via: {value}\r\n".encode("latin-1")
        elif name in STORED_HEADERS:
            is_repeated = self.headers.setdefault(name, value) != value
            if is_repeated and name in SINGLE_HEADERS:
                raise SipParseError("header repeated with another value")

    def content_length(self) -> int:
        """Returns the size of the body in bytes; call it once the head is complete."""
        text = self.headers.get("content-length", "")
        if not text.isascii() or not text.isdigit() or len(text) > MAX_CONTENT_LENGTH_DIGITS:
            raise SipParseError("Content-Length is not a number")
        length = int(text)
        if self.size + length > MAX_MESSAGE:
            raise SipParseError("message longer than 16 KiB", 513)  # rejected before the body is read
        return length

    def echoed_headers(self) -> bytes | bytearray:
        """Returns the header lines that every response to this request repeats.

        This is all that has to be retained of a request until it is answered.
        """
        text = ""
        for name, title in ECHOED_HEADERS.items():
            value = self.headers.get(name)
            if value is not None:
                text += f"{title}: {value}\r\n"
        return self.vias + text.encode("latin-1")

    def stored_bytes(self) -> int:
        """Returns how many bytes of the message are stored."""
        values = sum(len(value) for value in self.headers.values())
        return len(self.start_line) + len(self.vias) + values


@dataclass(slots=True)
class SipRequest:
    """A complete SIP request from a caller."""

    method: str
    uri: str
    call_id: CallId | None  # the call that it names, if any
    message: SipMessage
    body: bytes

    def release_cause(self) -> int:
        """Returns the Q.850 cause of a BYE; a normal release if it has none."""
        found = RELEASE_CAUSE.search(self.message.headers.get("reason", ""))
        return int(found[1]) if found and len(found[1]) < 4 else ReleaseCause.NORMAL


def parse_request(message: SipMessage, body: bytes) -> SipRequest:
    """Builds the request from a complete message; raises SipParseError for a bad request line."""
    fields = message.start_line.split()
    if len(fields) != 3 or not fields[2].startswith("SIP/2"):
        raise SipParseError("not a SIP request line")
    return SipRequest(fields[0], fields[1], message.call_id, message, body)


def _parse_decimal(text: str, name: str) -> float:
    if not DECIMAL.match(text):
        raise ValueError(f"{name} is not a decimal number")
    return float(text)


def _parse_facts(text: str) -> dict[str, float]:
    """Parses an X-Facts header: `name:value;...`."""
    facts = {}
    for item in text.split(";"):
        name, _, value = item.partition(":")
        if item.strip():
            facts[name.strip()] = _parse_decimal(value.strip(), "X-Facts")
    return facts


def parse_setup(request: SipRequest) -> SetupRequest:
    """Builds the call setup that an INVITE requests; raises ValueError with the reason if it is invalid."""
    if request.call_id is None:
        raise InvalidCallIdError
    headers = request.message.headers
    number = CALLED_NUMBER.match(request.uri)
    if not number:
        raise ValueError("the request URI has no called number")
    timeout = _parse_decimal(headers.get("x-patience", ""), "X-Patience")
    facts = _parse_facts(headers.get("x-facts", ""))
    destination = facts.get("dest", -1.0)
    if destination != int(destination):
        raise ValueError("dest is not an integer")
    return SetupRequest(
        request.call_id,
        headers.get("subject", ""),
        number[1],
        timeout,
        request.body,
        int(destination),
        headers.get("x-retry", "") not in ("", "0"),
        facts.get("width", 1.0),
        headers.get("organization", ""),
    )


def encode_response(
    code: int, echoed_headers: bytes | bytearray, body: bytes = b"", retry_after: float = 0.0
) -> bytes:
    """Encodes the response to a request from its `SipMessage.echoed_headers`.

    `retry_after` is in ms; 0 omits the header.
    """
    retry_header = b"X-Later-Ms: %.0f\r\n" % retry_after if retry_after > 0 else b""
    end = b"Content-Length: %d\r\n\r\n" % len(body)
    return b"".join((STATUS_LINES[code], echoed_headers, retry_header, end, body))


def encode_bye(call: CallId, number: str, cause: int, via: str) -> bytes:
    """Encodes the BYE that notifies a caller of the end of its call."""
    lines = (
        f"BYE sip:{number}@net SIP/2.0",
        f"Via: SIP/2.0/TCP {via}",
        f"Call-ID: {call}",
        "CSeq: 2 BYE",
        f"Reason: Q.850;cause={cause}",
        "Content-Length: 0",
        "",
        "",
    )
    return "\r\n".join(lines).encode("latin-1")
