"""Races at the end of calls, connections and processes: no answer or release may be lost.

Each test forces an unfavourable order of events: a peer stops reading or accepting, SIGSTOP pauses the
program, or setups arrive without a pause.
"""

import signal
import socket
import struct
import time

import pytest
from support.endpoint_events import endpoint_record, list_changes
from support.harness import INFO, ROOT, Sip, Stage, call_id, format_address
from support.paused import Paused

from softswitch.standin.addresses import own_host

SHORT_DEADLINE = {"lanes": [{"name": "x", "aim": 500.0, "credit": 1.0, "hard_limit": 900.0}]}
LONG_CONNECT_TIMEOUT = {"limits": INFO["limits"] | {"connect_timeout": 8000.0}}


def invite(n, patience=900, **fields):
    """Returns an INVITE as bytes."""

    class RecordingSocket:
        def sendall(self, data):
            self.data = data

    recorder = RecordingSocket()
    headers = "".join(f" {k}={v}" for k, v in fields.items())
    Sip(None, recorder).send(f"INVITE {n} X-Patience={patience}{headers}")
    return recorder.data


def read_to_end(sock, seconds=5.0):
    """Reads until the other side closes; a reset raises an exception, so it fails the test."""
    sock.settimeout(seconds)
    received = b""
    while data := sock.recv(65536):
        received += data
    return received


# SIGTERM


def test_setups_until_the_end_of_a_stop_are_answered():
    # The engine answers nothing; setups arrive every 5 ms until the program closes the connection.
    with Stage(engines=1, settings=SHORT_DEADLINE) as s:
        s.play("c0 send OPTIONS\nc0 expect 200")
        c, sent, received = s.parties.pop("c0").sock, {}, b""
        c.setblocking(False)
        s.program.send_signal(signal.SIGTERM)
        n, open_ = 100, True
        while open_:
            n += 1
            try:
                c.sendall(invite(n))
                sent[call_id(n)] = time.monotonic()
            except ConnectionError:
                break
            until = time.monotonic() + 0.005
            while time.monotonic() < until and open_:
                s.pump(0.002)
                try:
                    data = c.recv(65536)
                    received, open_ = received + data, bool(data)
                except BlockingIOError:
                    pass
                except ConnectionError:
                    open_ = False
        ended = time.monotonic()
        lost = [call for call, at in sent.items() if ended - at > 0.05 and call.encode() not in received]
        assert len(sent) > 50 and not lost, (len(lost), len(sent))
        assert s.program.wait(2) == 0


def test_answers_that_a_caller_has_not_read_yet_survive_the_end_of_a_stop():
    with Stage(engines=1) as s:
        body, established = "x" * 15_000, []

        def answer(name, message):
            if message.startswith("SET_UP"):
                established.append(message.split()[1])
                s.parties["e0"].send(f"ANSWER {established[-1]} 33={body}")

        s.play("c0 send OPTIONS\nc0 expect 200\ne0 wait 50")
        s.hook = answer
        c = s.parties.pop("c0").sock  # from now on this caller reads nothing
        c.setblocking(False)
        for n in range(1, 1_000):
            try:
                c.sendall(invite(n, patience=3000))
            except BlockingIOError:
                break  # by now the program does not read from this connection either
            s.pump(0.002)
            s.pump(0.0)
        for _ in range(20):
            s.pump(0.01)
        for call in established:  # then no call is established, so the stop need not wait for one
            s.parties["e0"].send(f"RELEASE {call} 31=16")
        s.program.send_signal(signal.SIGTERM)
        s.play("e0 wait 1500")  # longer than the stop itself takes; only then does the caller read
        received = read_to_end(c, 5.0)
        missing = [call for call in established if f"Call-ID: {call}".encode() not in received]
        complete = received.count(body.encode())
        assert len(established) > 100 and not missing and complete == len(established), (
            len(established),
            len(missing),
            complete,
        )
        assert s.program.wait(5) == 0


def test_a_second_sigterm_and_a_reload_with_another_watch_server_do_not_affect_a_stop():
    with Stage(engines=1) as s:
        s.play(
            "c0 send INVITE 1\ne0 expect SET_UP {1}\np send SIGTERM\np config b2\nb2 expect after 3\n"
            "p send SIGTERM\nc1 send INVITE 2\ne0 expect SET_UP {2}\ne0 send ANSWER 1 33=d\n"
            "c0 expect 200 OK.*INVITE\ne0 send RELEASE 2 31=34\nc1 expect SIP/2.0 503"
        )
        s.play("e0 send RELEASE 1 31=16\nc0 expect BYE.*{1}\np expect 0")
        assert s.log_text().count("asked to stop") == 1


def test_incomplete_and_unread_setups_at_sigterm_are_served():
    with Stage(engines=1) as s:
        s.play("c1 send OPTIONS\nc1 expect 200\nc2 send OPTIONS\nc2 expect 200\ne0 wait 20")
        established, request = set(), invite(1, patience=3000)

        def answer(name, message):
            if message.startswith("SET_UP"):
                s.parties["e0"].send(f"ANSWER {message.split()[1]} 33=d")
            elif message.startswith("SIP/2.0 200"):
                established.add(name)
                s.parties["e0"].send(f"RELEASE {name[1]} 31=16")

        s.hook = answer
        s.parties["c1"].sock.sendall(request[:60])
        with Paused(s):
            s.program.send_signal(signal.SIGTERM)
            s.parties["c2"].sock.sendall(invite(2, patience=3000))
            s.party("c3").sock.sendall(invite(3, patience=3000))  # its connection is not accepted yet
        while "asked to stop" not in s.log_text():
            s.pump(0.01)
        s.parties["c1"].sock.sendall(request[60:])
        until = time.monotonic() + 3.0
        while len(established) < 3 and time.monotonic() < until:
            s.pump(0.05)
        assert established == {"c1", "c2", "c3"}, s.log_text()
        assert s.program.wait(3) == 0


def test_a_call_in_its_retry_delay_at_sigterm_still_gets_its_attempt():
    with Stage(engines=2) as s:
        s.play(
            "c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send RELEASE 1 31=41\np send SIGTERM\n"
            "e1 expect SET_UP {1}\ne1 send ANSWER 1 33=d\nc0 expect 200 OK.*INVITE\n"
            "e1 send RELEASE 1 31=16\nc0 expect BYE\np expect 0"
        )


# the start


def unavailable_watch_server(failure):
    """Returns the address of a watch server that is down, that sends nothing, or that never accepts."""
    listener = socket.socket()
    listener.bind((own_host(), 0))
    if failure != "down":
        listener.listen(8)
    return listener, (fill(listener) if failure == "never accepts" else [])


@pytest.mark.parametrize("failure", ["down", "silent", "never accepts"])
def test_a_start_without_the_watch_server_uses_the_configured_endpoint_list(failure):
    listener, backlog = unavailable_watch_server(failure)
    with Stage(engines=1, config={"board": format_address(listener.getsockname())}) as s:
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK.*INVITE")
    for sock in (listener, *backlog):
        sock.close()


def test_without_an_endpoint_list_the_softswitch_is_not_ready_until_the_watch_server_sends_one():
    s = Stage(engines=1, config={"known": {"rev": 0, "notices": []}})
    try:
        listener = s.listeners.pop("b")  # the watch server sends nothing yet
        s.play("c0 send OPTIONS\nc0 expect 503")
        s.listeners["b"] = listener
        s.play("b expect after 0\nb send 1 ready e0\n")
        while "e0" not in s.parties:
            s.pump(0.05)
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\nc0 send OPTIONS\nc0 expect 200")
    finally:
        s.__exit__()


# callers' connections


def crowd(stage, n):
    """Opens `n` idle connections; on each a request has been answered."""
    for k in range(n):
        stage.play(f"c{k} send OPTIONS\nc{k} expect 200")


def test_an_unread_setup_is_served_although_its_connection_is_the_first_to_be_closed():
    with Stage(engines=1, config={"limits": {"sockets": 64}}) as s:
        crowd(s, 12)  # the limit, apart from the call-control API
        with Paused(s):
            more = [socket.create_connection(s.sip) for _ in range(3)]  # the listener's event precedes c0's
            s.play("c0 send INVITE 1")
        s.play("e0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK.*INVITE")
        for sock in more:
            sock.close()


def test_a_connection_closed_with_unread_bytes_delivers_its_answer_without_a_reset():
    with Stage() as s:
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}")
        c = s.parties.pop("c0").sock
        c.sendall(b"NOTHING\r\n" + b"no colon\r\n\r\n" + b"x" * 300_000)
        received = read_to_end(c)
        assert b"400" in received and b"Call-ID: " + call_id(1).encode() in received, received


# SIGHUP and the start

# Runs the program like `python -m` and raises a signal at the first import of the named module.
RAISE_SIGNAL_AT_IMPORT = """
import os, runpy, signal, sys
class Finder:
    def find_spec(self, name, *_):
        if name == {at!r}:
            sys.meta_path.remove(self)
            {act}
            os.kill(os.getpid(), signal.{signal})
sys.meta_path.insert(0, Finder())
runpy.run_module("softswitch", run_name="__main__", alter_sys=True)
"""


def start_with_signal(at, name, act="pass"):
    text = RAISE_SIGNAL_AT_IMPORT.format(at=at, signal=name, act=act)
    return Stage(engines=1, command=("-c", text))


@pytest.mark.parametrize(
    "at", ["softswitch.lazy_import", "twisted.internet", "softswitch.settings", "softswitch.net.sip_server"]
)
def test_sighup_during_the_start_is_handled_once_the_program_serves(at):
    with start_with_signal(at, "SIGHUP") as s:
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}")
        assert s.log_text().count("configuration reloaded") == 1, s.log_text()


@pytest.mark.parametrize("at", ["softswitch.lazy_import", "softswitch.net.sip_server"])
def test_sigterm_during_the_start_ends_the_program_before_it_listens(at):
    stage = start_with_signal(at, "SIGTERM")
    try:
        assert stage.program.wait(5) == 0, stage.log_text()
        assert "serves at" not in stage.log_text()
    finally:
        stage.__exit__()


def test_the_deploy_file_ignores_sighup_until_a_handler_is_installed():
    import tomllib

    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    before, _, _ = run.partition("exec ")
    assert before.startswith("trap '' HUP; "), run  # an ignored signal stays ignored across exec


# callers that disconnect, cancel or time out while their setups wait: no attempt is sent for them


def cancel(stage, n):
    stage.play(f"c0 send CANCEL {n}\nc0 expect 200 .*CANCEL")


def close(stage, n):
    stage.parties.pop("c0").sock.close()


def reset(stage, n):
    sock = stage.parties.pop("c0").sock
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def timeout(stage, n):
    """The timeout that the caller gave in its setup expires."""
    stage.play("c0 expect SIP/2.0 (5|4)\\d\\d .*INVITE")


ABANDONMENTS = pytest.mark.parametrize("abandon", [cancel, close, reset, timeout])
PATIENCE = 700


def assert_no_setup(stage, engine, calls):
    """Asserts that within 1.2 s the engine receives no setup of these calls.

    In most tests another caller's setup shows that the engine is connected.
    """
    stage.play(f"{engine} wait 1200")
    party = stage.party(engine)
    setups = [m for m in (party.received if party else []) if m.startswith("SET_UP")]
    late = [m for m in setups if m.split()[1] in map(call_id, calls)]
    assert not late, f"{len(late)} of {len(calls)} were sent"


@ABANDONMENTS
def test_a_setup_abandoned_while_no_engine_is_available_is_not_sent(abandon):
    with Stage(engines=1) as s:
        s.play("b expect after 3\nb send 4 draining e0\nc0 wait 50")
        for n in (1, 2, 3):
            s.play(f"c0 send INVITE {n} X-Patience={PATIENCE}")
        s.play("c1 send OPTIONS\nc1 expect 200\ne0 expect nothing 100")  # they are accepted and queued
        for n in (1, 2, 3) if abandon in (cancel, timeout) else (0,):
            abandon(s, n)
        s.play("b send 5 ready e0\nc1 send INVITE 4\ne0 expect SET_UP {4}")
        assert_no_setup(s, "e0", [1, 2, 3])


@ABANDONMENTS
def test_a_call_abandoned_during_its_retry_delay_gets_no_further_attempt(abandon):
    with Stage(engines=2, settings={"family_info": INFO["family_info"] | {"clear_wait": 600.0}}) as s:
        s.play(
            f"c0 send INVITE 1 X-Patience={PATIENCE}\ne0 expect SET_UP {{1}}\n"
            "e0 send RELEASE 1 31=41\ne0 wait 50"
        )
        abandon(s, 1)
        assert_no_setup(s, "e1", [1])
        assert_no_setup(s, "e0", [1])


def fill(listener):
    """Fills the backlog of a listener, so that no other connection opens; returns the client sockets."""
    listener.listen(0)
    opened = []
    while True:
        sock = socket.socket()
        sock.settimeout(0.2)
        try:
            sock.connect(listener.getsockname())
        except TimeoutError:
            return opened
        opened.append(sock)


@ABANDONMENTS
def test_a_setup_abandoned_while_its_engine_connection_opens_is_not_sent(abandon):
    with Stage(engines=1, settings=LONG_CONNECT_TIMEOUT) as s:
        s.play("e0 wait 50")
        listener = s.listeners.pop("e0")
        backlog = fill(listener)
        s.parties.pop("e0").sock.close()  # the program opens a new connection, which is not accepted
        s.play(f"c0 wait 100\nc0 send INVITE 1 X-Patience={PATIENCE}\nc0 send OPTIONS\nc0 expect 200")
        abandon(s, 1)
        for sock in backlog:
            listener.accept()[0].close()
            sock.close()
        listener.listen(64)
        s.listeners["e0"] = listener  # now it accepts connections; the kernel retries within a second or two
        s.play("c8 send INVITE 2\ne0 expect SET_UP {2}")
        assert_no_setup(s, "e0", [1])


def test_a_call_whose_attempt_was_never_written_is_rejected_at_its_deadline():
    """Guards against a failure (500) of a call that no engine can have received.

    The connection does not open, or the engine does not read, until the caller's timeout. The decision module
    has an attempt in flight and cannot know that the setup is still in the link's queue, so it failed the
    call: the caller received 'SIP/2.0 500 Server Failure' although the engine's listener had accepted no
    connection and no byte had been sent to any engine. A rejection (503) says that a retry is safe.
    """
    with Stage(engines=1, settings=LONG_CONNECT_TIMEOUT) as s:
        s.play("e0 wait 50")
        listener = s.listeners.pop("e0")
        backlog = fill(listener)
        s.parties.pop("e0").sock.close()
        s.play("c0 wait 100\nc0 send INVITE 1 X-Patience=700\nc0 expect SIP/2.0 503.*{1}.*X-Later-Ms")
        for sock in backlog:
            sock.close()
        listener.close()


@pytest.mark.parametrize("abandon", [cancel, close, reset])
def test_a_setup_abandoned_before_it_is_read_is_not_sent(abandon):
    with Stage(engines=1) as s:
        s.play("c0 send OPTIONS\nc0 expect 200\nc1 send OPTIONS\nc1 expect 200")
        with Paused(s):
            s.play("c0 send INVITE 1")
            if abandon is cancel:
                s.play("c0 send CANCEL 1")
            else:
                abandon(s, 1)
            time.sleep(0.3)  # the setup waits this long before it is read
        s.play("c1 send INVITE 2\ne0 expect SET_UP {2}")
        assert_no_setup(s, "e0", [1])


def test_a_setup_abandoned_while_input_is_deferred_to_a_later_turn_is_not_sent():
    with Stage(engines=1) as s:
        noise = b"NOTIFY sip:a@net SIP/2.0\r\nContent-Length: 0\r\n\r\n" * 300
        crowd(s, 40)
        s.play("c50 send OPTIONS\nc50 expect 200\nc51 send OPTIONS\nc51 expect 200")
        with Paused(s):
            for k in range(40):  # more input than one turn of the event loop processes for callers
                s.parties[f"c{k}"].sock.sendall(noise)
            s.play("c50 send INVITE 1\nc50 send CANCEL 1")
            time.sleep(0.3)  # the setup waits this long before it is read
        s.play("c50 expect 200 .*CANCEL\nc51 send INVITE 2\ne0 expect SET_UP {2}")
        assert_no_setup(s, "e0", [1])


def test_a_reset_during_an_answer_affects_no_other_caller_and_the_release_is_delivered():
    with Stage(engines=1) as s:
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\nc1 send INVITE 2\ne0 expect SET_UP {2}")
        with Paused(s):
            s.play("e0 send ANSWER 1 33=d\ne0 send ANSWER 2 33=e")
            reset(s, 1)
        s.play("c1 expect 200 OK.*{2}.*e$\ne0 send RELEASE 1 31=16\ne0 send RELEASE 2 31=16\nc1 expect BYE")
        assert "fault" not in s.log_text()


def test_a_caller_that_reads_no_answers_is_disconnected_and_delays_no_other():
    with Stage(engines=1) as s:
        body = "x" * 15_000
        s.play("c0 send OPTIONS\nc0 expect 200\ne0 wait 20")
        c, n = s.parties.pop("c0").sock, 0
        c.setblocking(False)

        def answer(name, message):
            message_type, call, *_ = message.split()
            if message_type == "SET_UP":
                s.parties["e0"].send(f"ANSWER {call} 33={body}")
            elif message_type == "TEST":
                s.parties["e0"].send("TESTED 0 31=1")

        s.hook = answer
        until = time.monotonic() + 10.0
        while "responses unread for" not in s.log_text():
            assert time.monotonic() < until
            s.pump(0.01)
            try:
                n += 1
                c.sendall(invite(n, patience=3000)) if n < 400 else None
            except BlockingIOError:
                n = 400
        s.hook = None
        s.play(
            "c1 send INVITE 900\ne0 expect SET_UP {900}\ne0 send ANSWER 900 33=d\nc1 expect 200 OK.*INVITE"
        )
        assert s.log_text().count("responses unread for") == 1
        c.close()


def test_a_half_close_of_a_caller_counts_as_a_disconnect():
    # On the wire, a close and a half close look the same until data is written, so both end the call setup.
    with Stage(engines=1) as s:
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}")
        s.parties["c0"].sock.shutdown(socket.SHUT_WR)
        s.play("e0 expect RELEASE {1} 31=16\nc0 expect end\nc1 send INVITE 2\ne0 expect SET_UP {2}")


# engines' connections


def wait_for_bytes(sock, data):
    """Waits until the softswitch has written these bytes to the socket, and leaves them unread."""
    until = time.monotonic() + 5.0
    while data not in sock.recv(65536, socket.MSG_PEEK):
        assert time.monotonic() < until
        time.sleep(0.002)


@pytest.mark.parametrize("acknowledged", [False, True])
def test_a_release_lost_by_a_reset_is_sent_again_unless_acknowledged(acknowledged):
    with Stage(engines=1) as s:
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK.*INVITE")
        e = s.parties.pop("e0")  # from now on this engine reads nothing
        s.play("c0 send BYE 1\nc0 expect 200 OK.*BYE")
        wait_for_bytes(e.sock, bytes((12,)) + bytes.fromhex(call_id(1)))
        if acknowledged:
            e.send("HEARD 1")
            s.play("c0 send INVITE 2")
            wait_for_bytes(e.sock, bytes((1,)) + bytes.fromhex(call_id(2)))
            e.send("ANSWER 2 33=d")
            # The softswitch has read the acknowledgement before the answer that it passes on here.
            s.play("c0 expect 200 OK.*INVITE")
        e.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        e.sock.close()
        if acknowledged:
            s.play("e0 expect nothing 300")
        else:
            s.play("e0 expect RELEASE {1} 31=16")


def test_setups_for_an_engine_that_refuses_connections_are_rejected_without_delay():
    with Stage(engines=1, settings={"limits": INFO["limits"] | {"send_cap": 6}}) as s:
        s.play("c0 send OPTIONS\nc0 expect 200\ne0 wait 20")
        s.listeners.pop("e0").close()
        s.parties.pop("e0").sock.close()
        s.play("c0 wait 30\nc0 send INVITE 1\nc0 send INVITE 2")
        started_at = time.monotonic()
        # Guards against a 500 at the deadline.
        s.play("c0 expect SIP/2.0 503.*INVITE\nc0 expect SIP/2.0 503.*INVITE")
        assert time.monotonic() - started_at < 2.5


def test_releases_beyond_the_queue_limit_of_an_unreachable_engine_are_counted():
    with Stage(engines=1, settings=LONG_CONNECT_TIMEOUT) as s:
        s.play("e0 wait 50")
        listener = s.listeners.pop("e0")
        backlog = fill(listener)
        s.parties.pop("e0").sock.close()  # the program opens a new connection, which is not accepted
        s.play("c0 wait 100")
        for n in range(10):
            s.play(f"c0 send INVITE {100_000 + n}")  # these setups wait for the connection, too
        s.play("c0 wait 50")  # until they are routed: behind a full read that takes longer
        for n in range(5_000):  # unknown calls, perhaps of a predecessor; 4,096 of the releases are sent
            s.party("c0").send(f"BYE {n}")
            s.pump(0.0)
        s.play("c0 send OPTIONS")
        while "OPTIONS" not in (s.next("c0") or "OPTIONS"):
            pass
        s.play("p send SIGUSR1\nc0 wait 100")
        assert '"releases to engines dropped":10,' in s.log_text(), s.log_text()[-500:]
        assert '"heir releases":4096' in s.log_text()
        for sock in (listener, *backlog):
            sock.close()


@pytest.mark.parametrize(("state", "probed"), [("ready", True), ("draining", False)])
def test_a_draining_engine_without_load_reports_is_not_probed_at_the_report_interval(state, probed):
    # Guards against needless probes: three in four probes of a day of releases went to engines that had sent
    # their last load report.
    with Stage(engines=1) as s:
        s.play(
            f"b expect after 3\nc0 send INVITE 1\ne0 expect SET_UP {{1}}\nb send 4 {state} e0\n"
            "e0 send ANSWER 1 33=d\nc0 expect 200 OK.*INVITE"
        )
        started_at = time.monotonic()
        assert (s.next("e0", 2.5) is not None) == probed
        if not probed:
            # A silent engine is still detected in time to release its calls.
            s.play("e0 expect TEST\ne0 expect end")
            assert 2.9 < time.monotonic() - started_at < 5.5
            while s.parties["e0"].sock.fileno() < 0:
                s.pump(0.05)
            s.play("e0 send RELEASE 1 31=16\nc0 expect BYE.*{1}")  # on the new connection


def test_an_idle_link_closed_while_a_setup_crosses_costs_one_attempt_and_its_retry_delay():
    with Stage(engines=2) as s:
        s.play("c0 send OPTIONS\nc0 expect 200\ne0 wait 50")
        e = s.parties.pop("e0")
        s.play("c0 send INVITE 1")
        wait_for_bytes(e.sock, bytes((1,)) + bytes.fromhex(call_id(1)))
        e.sock.close()  # with unread data, hence a reset, as if both sides had closed at once
        started_at = time.monotonic()
        s.play("e1 expect SET_UP {1}\ne1 send ANSWER 1 33=d\nc0 expect 200 OK.*INVITE")
        assert time.monotonic() - started_at >= INFO["family_info"]["clear_wait"] / 1000


@pytest.mark.parametrize("after", ["closes", "resets", "is silent", "corrupts it"])
def test_an_incomplete_answer_is_discarded_and_its_call_retried(after):
    with Stage(engines=2) as s:
        s.play("c0 send INVITE 1\ne0 expect SET_UP {1}")
        e = s.parties["e0"] if after == "is silent" else s.parties.pop("e0")
        e.sock.sendall(bytes.fromhex("0030" + "09" + call_id(1) + "21"))
        if after == "corrupts it":
            e.sock.sendall(b"\xff" * 0x30)
        elif after == "resets":
            e.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if after in ("closes", "resets"):
            e.sock.close()

        def answer(name, message):
            if message.startswith("SET_UP"):  # at the other engine, or at the same one on its new connection
                s.parties[name].send("ANSWER 1 33=whole")
            elif message.startswith("SIP"):
                answers.append(message)

        answers, s.hook = [], answer
        s.play("c0 wait 1000")
        assert (
            len(answers) == 1 and answers[0].startswith("SIP/2.0 200 OK") and answers[0].endswith("whole")
        ), answers


def test_an_answer_to_an_abandoned_call_is_not_delivered():
    with Stage(engines=1) as s:
        s.play(
            "c0 send INVITE 1\ne0 expect SET_UP {1}\nc0 send CANCEL 1\nc0 expect 200 .*CANCEL\n"
            "e0 expect RELEASE {1} 31=16\ne0 send ANSWER 1 33=d\nc0 expect nothing 100\n"
            "c0 send INVITE 2\ne0 expect SET_UP {2}\ne0 send ANSWER 2 33=e\nc0 expect 200 OK.*{2}.*e$"
        )


def test_setups_that_are_cancelled_at_once_are_not_sent():
    with Stage(engines=1) as s:
        s.play("c0 send OPTIONS\nc0 expect 200\ne0 wait 20")
        cancel = "CANCEL sip:77@net SIP/2.0\r\nCall-ID: {}\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n"
        cancelled = b"".join(invite(n) + cancel.format(call_id(n)).encode() for n in range(10, 50))
        s.parties["c0"].sock.sendall(cancelled + invite(50, patience=3000))
        s.play("e0 expect SET_UP {50}\ne0 send ANSWER 50 33=d")
        answers = [s.next("c0") for _ in range(41)]
        assert sum("CANCEL" in a and "200 OK" in a for a in answers) == 40
        assert call_id(50) in answers[-1]


def test_a_new_engine_at_the_address_of_a_removed_one_serves_under_its_own_id():
    with Stage(engines=1) as s:
        s.play(
            "c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK.*INVITE\n"
            "b expect after 3\n"
            + list_changes(4, endpoint_record(s, 0, "e0", 2, 0), endpoint_record(s, 7, "e0", 0, 0))
        )
        s.play("c0 expect BYE.*{1}.*cause=41")  # the call ended with the old engine
        s.play(
            "e0 wait 100\nc0 send INVITE 2\ne0 expect SET_UP {2}\ne0 send ANSWER 2 33=e\n"
            "c0 expect 200 OK.*{2}"
        )


def test_engines_drained_or_removed_during_a_retry_delay_get_no_attempt():
    retry_delay = {"family_info": INFO["family_info"] | {"clear_wait": 600.0}}
    with Stage(engines=3, settings=retry_delay) as s:  # e2 is in no cell that the class may go to
        s.play(
            "b expect after 3\nb send 4 gone e2\ne2 expect end\nc0 send INVITE 1\ne0 expect SET_UP {1}\n"
            "e0 send RELEASE 1 31=41\n"
            + list_changes(
                5,
                endpoint_record(s, 0, "e0", 1, 0),
                endpoint_record(s, 1, "e1", 2, 1),
                endpoint_record(s, 8, "e2", 0, 1),
            )
        )
        s.play("e2 expect SET_UP {1}\ne2 send ANSWER 1 33=d\nc0 expect 200 OK")
        for name in ("e0", "e1"):
            assert not any(m.startswith("SET_UP") for m in s.party(name).received)


# the endpoint watch


@pytest.mark.parametrize(
    "frame",
    [
        "b send 6 draining e1",  # events 4 and 5 are missing
        "b send raw - 00000009000000000000000500",  # revision 5 without a change: events 4 and 5 are missing
    ],
)
def test_missing_updates_are_requested_again_but_only_once(frame):
    with Stage() as s:
        s.play(
            f"b expect after 3\n{frame}\nb expect end\nb expect after 3\nb send 4 gone e0\n"
            "b send 5 gone e1\ne0 expect end\ne1 expect end\n"
            "c0 send INVITE 1\ne0 expect nothing 150\ne1 expect nothing 150"
        )
        assert "events after 3 are missing before" in s.log_text()
        # Events 6 to 8 are still missing after they have been requested once: they count as nonexistent.
        s.play("b send 9 ready e0\nb expect end\nb expect after 5\nb send 9 ready e0\ne0 expect SET_UP {1}")


@pytest.mark.parametrize("partial_frame", ["", "00000024", "0000002400000000000004"])
def test_a_watch_connection_that_ends_or_is_silent_is_replaced(partial_frame):
    with Stage() as s:
        s.play("b expect after 3")
        server = s.parties.pop("b")
        server.sock.sendall(bytes.fromhex(partial_frame))
        server.sock.close()
        s.play("b expect after 3\nb send 4 gone e0\ne0 expect end")
        s.parties["b"].send_keepalive = lambda: None  # from now on it sends nothing and stays open
        s.play("b expect end\nb expect after 4\nb send 5 gone e1\ne1 expect end")


@pytest.mark.parametrize(
    "frame",
    [
        "0000000200" + "00",  # shorter than its header
        "0000000c" + "0000000000000004" + "02" + "010203",  # incomplete record
        "ffffffff",  # longer than any frame
    ],
)
def test_an_unreadable_frame_closes_the_watch_connection_and_the_next_one_continues(frame):
    with Stage() as s:
        s.play(
            f"b expect after 3\nb send raw - {frame}\nb expect end\nb expect after 3\nb send 4 gone e0\n"
            "e0 expect end\nc0 send INVITE 1\ne1 expect SET_UP {1}"
        )
        assert s.log_text().count("connection closed") == 1


def test_an_event_that_cannot_be_read_twice_is_skipped_and_the_next_ones_are_applied():
    """Guards against an event that is requested for ever, and keeps all later ones from being heard."""
    with Stage() as s:
        frame = "0000000c" + "0000000000000004" + "02" + "010203"  # an incomplete record
        s.play(
            f"b expect after 3\nb send raw - {frame}\nb expect end\nb expect after 3\nb send raw - {frame}\n"
            "b send 5 gone e0\ne0 expect end\nc0 send INVITE 1\ne1 expect SET_UP {1}"
        )
        assert "event 4 cannot be read, skipped" in s.log_text()
        s.play("b close\nb expect after 5")


def test_a_damaged_number_never_has_the_events_before_it_skipped():
    with Stage() as s:
        frame = "0000000c" + "0000000100000004" + "02" + "010203"
        s.play("b expect after 3\n" + f"b send raw - {frame}\nb expect end\nb expect after 3\n" * 3)
        s.play("b send 4 gone e0\ne0 expect end")


def test_a_new_watch_connection_that_is_silent_is_closed_too():
    with Stage() as s:
        silent = []
        s.play("b expect after 3")
        for _ in range(2):
            s.parties["b"].send_keepalive = lambda: None
            silent.append(s.parties["b"])
            s.play("b expect end\nb expect after 3")
        s.play("b send 4 gone e0\ne0 expect end")
        assert s.log_text().count("silent for") == 2
        assert len(silent) == 2
