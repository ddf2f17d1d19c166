"""SIP messages: the head line by line, the call setup that an INVITE asks for, and answers as bytes."""

from __future__ import annotations

import re
from dataclasses import dataclass

from softswitch.core.call import ReleaseCause, SetupRequest

MAX_MESSAGE = 16_384  # bytes
MAX_LENGTH_DIGITS = 30  # of Content-Length
SINGLE_HEADERS = ("content-length", "call-id", "cseq", "subject", "x-patience", "x-facts")
COMPACT_NAMES = {"v": "via", "f": "from", "t": "to", "i": "call-id", "l": "content-length", "s": "subject"}
ECHOED_HEADERS = {"from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq"}  # besides Via
# Names as they are nearly always written: looked up faster than normalized.
USUAL_SPELLINGS = {
    name: name.lower()
    for name in ("Via", "From", "To", "Call-ID", "CSeq", "Subject", "X-Patience", "X-Facts", "X-Retry")
} | {"Content-Length": "content-length", "Content-Type": "content-type", "Max-Forwards": "max-forwards"}
REASONS = {
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
CALLED_NUMBER = re.compile(r"sips?:([^@\s]+)@", re.I)
DECIMAL = re.compile(r"-?[0-9]{1,9}(\.[0-9]{1,9})?\Z")  # float() takes nan, 1_0, 1e99 and far digits too
RELEASE_CAUSE = re.compile(r"cause\s*=\s*(\d+)", re.I)


class SipParseError(Exception):
    """A message that can't be read, so that it is not known where the next one begins."""

    def __init__(self, reason: str, code: int = 400) -> None:
        super().__init__(reason)
        self.code = code  # of the answer


def normalized_name(name: str) -> str:
    """A header's name in lower case, and in full."""
    name = name.strip().lower()
    return COMPACT_NAMES.get(name, name)


class SipMessage:
    """A message, or the beginning of one."""

    __slots__ = ("headers", "size", "start_line", "vias")

    def __init__(self) -> None:
        self.start_line = ""
        self.headers: dict[str, str] = {}  # the first of each name, in lower case
        self.vias: list[str] = []
        self.size = 0  # bytes of the head so far

    @property
    def call_id(self) -> str:
        """The call that it names; empty if none."""
        return self.headers.get("call-id", "").lower()

    @property
    def is_response(self) -> bool:
        """Whether it answers a request of ours."""
        return self.start_line.startswith("SIP/")

    def add_header(self, line: str) -> None:
        """Takes in one header line."""
        name, colon, value = line.partition(":")
        if not colon:
            raise SipParseError("a header without a colon")
        name = USUAL_SPELLINGS.get(name) or normalized_name(name)
        value = value.strip()
        if name == "via":
            self.vias.append(value)
        if self.headers.setdefault(name, value) != value and name in SINGLE_HEADERS:
            raise SipParseError("a header twice")

    def content_length(self) -> int:
        """Bytes of the body, once the head is complete."""
        text = self.headers.get("content-length", "")
        if not text.isascii() or not text.isdigit() or len(text) > MAX_LENGTH_DIGITS:
            raise SipParseError("Content-Length is no number")
        length = int(text)
        if self.size + length > MAX_MESSAGE:
            raise SipParseError("longer than 16 KiB", 513)  # told before its body is read, not after
        return length


@dataclass(slots=True)
class SipRequest:
    """A request of a caller."""

    method: str
    uri: str
    call_id: str  # the call that it names; empty if none
    message: SipMessage
    body: bytes

    def release_cause(self) -> int:
        """The cause that a BYE gives."""
        found = RELEASE_CAUSE.search(self.message.headers.get("reason", ""))
        return int(found[1]) if found and len(found[1]) < 4 else ReleaseCause.NORMAL


def parse_request(message: SipMessage, body: bytes) -> SipRequest:
    """The request of a complete message."""
    words = message.start_line.split()
    if len(words) != 3 or not words[2].startswith("SIP/2"):
        raise SipParseError("no SIP first line")
    return SipRequest(words[0], words[1], message.call_id, message, body)


def _parse_decimal(text: str, name: str) -> float:
    if not DECIMAL.match(text):
        raise ValueError(f"{name} is no figure")
    return float(text)


def _parse_facts(text: str) -> dict[str, float]:
    """X-Facts: `name:value;...`."""
    facts = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        if part.strip():
            facts[name.strip()] = _parse_decimal(value.strip(), "X-Facts")
    return facts


def parse_setup(request: SipRequest) -> SetupRequest:
    """The call setup that an INVITE asks for; ValueError with a plain text if it can't be read."""
    headers = request.message.headers
    number = CALLED_NUMBER.match(request.uri)
    if not number:
        raise ValueError("no number called")
    timeout = _parse_decimal(headers.get("x-patience", ""), "X-Patience")
    facts = _parse_facts(headers.get("x-facts", ""))
    destination = facts.get("dest", -1.0)
    if destination != int(destination):
        raise ValueError("dest is no whole number")
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


def encode_answer(code: int, request: SipMessage, body: bytes = b"", retry_after: float = 0.0) -> bytes:
    """The answer to a request; `retry_after` in ms, 0: no advice."""
    lines = [f"SIP/2.0 {code} {REASONS[code]}", *(f"Via: {via}" for via in request.vias)]
    headers = request.headers
    lines += [f"{title}: {headers[name]}" for name, title in ECHOED_HEADERS.items() if name in headers]
    if retry_after > 0:
        lines.append(f"X-Later-Ms: {retry_after:.0f}")
    return _encode(lines, body)


def encode_bye(call: str, number: str, cause: int, via: str) -> bytes:
    """The BYE that tells a caller of the end of its call."""
    return _encode(
        [
            f"BYE sip:{number}@net SIP/2.0",
            f"Via: SIP/2.0/TCP {via}",
            f"Call-ID: {call}",
            "CSeq: 2 BYE",
            f"Reason: Q.850;cause={cause}",
        ]
    )


def _encode(lines: list[str], body: bytes = b"") -> bytes:
    head = "\r\n".join((*lines, f"Content-Length: {len(body)}", "", ""))
    return head.encode("latin-1") + body
