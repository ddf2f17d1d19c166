"""Test bench for a SIP server without a network: a manual clock, and transports that record what is sent."""

from twisted.internet.testing import StringTransport

from softswitch.net.sip_server import SipServer
from support.switch_bench import Bench


class Transport(StringTransport):
    """A transport whose peer reads everything at once."""

    def setTcpNoDelay(self, on):  # noqa: N802  # Twisted's name
        """Does nothing: there is no TCP."""

    def doRead(self):  # noqa: N802
        """Reads nothing: no more data waits."""

    def loseWriteConnection(self):  # noqa: N802  # Twisted's name
        """Does nothing: the peer does not wait for the end."""


def invite(n, *headers, body=b"v=0", call_class="plain", timeout=3000):
    """Returns an INVITE with these header lines besides those that a call setup needs."""
    lines = (
        "INVITE sip:77@net SIP/2.0",
        "Via: SIP/2.0/TCP peer",
        f"Call-ID: {n:016x}",
        "CSeq: 1 INVITE",
        f"Subject: {call_class}",
        f"X-Patience: {timeout}",
        "X-Facts: dest:0;width:1;via:-1",
        *headers,
        f"Content-Length: {len(body)}",
    )
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


class SipBench(Bench):
    """A SIP server on the switch of a `Bench`."""

    def __init__(self, **changes):
        super().__init__(**changes)
        self.sip = SipServer("n0", self.switch)

    def connect(self):
        """Opens a caller's connection."""
        connection = self.sip.buildProtocol(None)
        connection.makeConnection(Transport())
        return connection

    def receive(self, connection, data):
        """Passes data to a connection, at the start of a turn of the event loop."""
        self.wheel.read_clock()
        connection.dataReceived(data)
