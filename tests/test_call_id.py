"""The id of a call is proved valid once, where it is read, on each front and channel."""

import orjson
import pytest
from support.harness import Stage
from support.sip_bench import SipBench

from softswitch.core.call_id import InvalidCallIdError, call_id_of_bytes, parse_call_id, parse_callers_id
from softswitch.net.engine_codec import MessageType, Release, decode_message, encode_message
from softswitch.net.handover import Channel, Handover

ONE, TWO = f"{1:016x}", f"{2:016x}"
NO_IDS = (
    "",
    "xyz",
    "0" * 15,
    "0" * 17,
    "0" * 15 + "g",
    "0" * 16 + "\n",
    " " + "0" * 15,
    "\u0661" * 16,
    None,
    1,
    [],
)
# A Call-ID header line that names no call; empty: no such header.
NO_ID_HEADERS = ("", *(f"Call-ID: {text}\r\n" for text in ("", "xyz", f"{ONE}0", "000000000000000g")))


@pytest.mark.parametrize("text", [*NO_IDS, "0" * 15 + "A"])
def test_other_texts_are_no_ids(text):
    with pytest.raises(InvalidCallIdError, match="16 hex digits"):
        parse_call_id(text)


@pytest.mark.parametrize("text", NO_IDS)
def test_callers_may_write_hex_digits_of_either_case_and_nothing_else(text):
    with pytest.raises(InvalidCallIdError):
        parse_callers_id(text)
    assert parse_callers_id("00000000000000aB") == "00000000000000ab"


def test_each_id_of_a_binary_message_is_valid():
    for data in (bytes(8), b"unknown.", b"\xff" * 8):
        assert parse_call_id(call_id_of_bytes(data)) == data.hex()
        message = decode_message(encode_message(MessageType.ACKNOWLEDGE, call_id_of_bytes(data)))
        assert message.call == data.hex()
        assert decode_message(Release(message.call, 16).encode()).call == data.hex()


# SIP


def request(method, id_header):
    return f"{method} sip:7@net SIP/2.0\r\n{id_header}CSeq: 2 {method}\r\nContent-Length: 0\r\n\r\n".encode()


@pytest.mark.parametrize("id_header", NO_ID_HEADERS)
@pytest.mark.parametrize("method", ["INVITE", "CANCEL", "BYE"])
def test_a_sip_request_that_names_no_call_is_rejected_and_reaches_no_engine(method, id_header):
    """Guards against a BYE without an id, after which no call stands any more (review/6)."""
    b = SipBench()
    b.calls_survive = True
    connection = b.connect()
    b.receive(connection, request(method, id_header))
    assert connection.transport.value().startswith(b"SIP/2.0 400 ")
    assert b.records == []
    assert b.switch.counters["bad messages"] == 1
    assert connection.penalty


@pytest.mark.parametrize("id_header", NO_ID_HEADERS)
def test_a_sip_response_that_names_no_call_is_ignored(id_header):
    b = SipBench()
    connection = b.connect()
    b.receive(connection, f"SIP/2.0 200 OK\r\n{id_header}CSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n".encode())
    b.receive(connection, request("OPTIONS", id_header))  # needs no id
    assert connection.transport.value().startswith(b"SIP/2.0 503 ")  # answered: the listener is not open yet


def test_a_bye_without_an_id_in_the_first_minute_leaves_the_engines_to_usual_callers():
    """Guards against a release that each engine refuses, first on each connection, for ever (review/6)."""
    with Stage(engines=1) as s:
        s.play(
            "c0 send raw BYE sip:7@net SIP/2.0\\r\\nCSeq: 2 BYE\\r\\nContent-Length: 0\\r\\n\\r\\n\n"
            "c0 expect 400\ne0 expect nothing 100\n"
            "c1 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc1 expect 200 .*{1}"
        )


# WebSocket


@pytest.mark.parametrize("verb", ["place", "watch", "release"])
def test_a_control_message_that_names_no_call_is_an_error(verb):
    with Stage(engines=1) as s:
        for id_ in ('""', '"xyz"', "null", "1", "[]", '"' + "0" * 17 + '"'):
            s.play(f'w0 send {verb} 1 id={id_}\nw0 expect "code":"bad_message","text":"the id of a call is')
        s.play("w0 send place 1\nw0 expect setting_up\ne0 expect SET_UP {1}")


# the channel between two processes


class ChannelBench(SipBench):
    """The end of a channel between two processes, and the messages that the other end would send."""

    def __init__(self):
        super().__init__()
        self.calls_survive, self.is_aborted = True, False
        self.handover = Handover(None, self.switch, self.sip, "")
        self.channel = self.handover.channel = Channel(self.handover)
        self.channel.transport = self

    def abortConnection(self):  # noqa: N802  # Twisted's name
        self.is_aborted = True

    def receive_message(self, **message):
        self.channel.lineReceived(orjson.dumps(message))


@pytest.mark.parametrize("id_", ["", "xyz", "A" * 16, None, 1])
@pytest.mark.parametrize("do", ["release", "cleared", "released"])
def test_a_release_of_the_peer_process_that_names_no_call_leaves_the_channel_open(do, id_):
    """Guards against a replacement that ends, and loses its releases, for one bad message (review/6)."""
    b = ChannelBench()
    b.receive_message(do=do, id=id_, cause=16)
    assert not b.is_aborted
    assert not b.sip.releases.queue.pending
    b.call(1)
    b.switch.answered_by_engine("s-0000000a", ONE, b"d")
    b.receive_message(do="cleared", id=ONE, cause=16)
    assert b.records_of("call_released") == [("call_released", ONE, 16)]


@pytest.mark.parametrize("ids", [["xyz"], [ONE, "A" * 16], [None]])
def test_reports_of_invalid_ids_are_rejected_whole(ids):
    b = ChannelBench()
    b.receive_message(do="calls_added", ids=ids)
    assert not b.handover.has_call(ONE)
    b.receive_message(do="calls_added", ids=[ONE, TWO])
    b.receive_message(do="calls_removed", ids=[*ids, TWO])
    assert b.handover.has_call(ONE)
    assert b.handover.has_call(TWO)
    assert not b.is_aborted


def test_a_message_that_is_malformed_otherwise_closes_the_channel():
    for line in (b"{", b"[]", b'{"do":"dance"}', b'{"do":"release","id":"' + ONE.encode() + b'"}'):
        b = ChannelBench()
        b.channel.lineReceived(line)
        assert b.is_aborted
