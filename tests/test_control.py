"""The call-control API: edge cases, and 10,000 calls, half by it and half by SIP. See support/harness.py."""

import json
import socket
import time
import unittest
from base64 import b64decode
from collections import Counter

from support.harness import Stage, call_id
from wsproto.events import TextMessage

from softswitch.core.call import FailureReason
from softswitch.net import call_control, sip_calls
import contextlib


class EdgeCases(unittest.TestCase):
    def play(self, scenario, **stage):
        with Stage(**stage) as s:
            s.play(scenario)
            assert s.program.poll() is None and "ERROR" not in s.log_text(), s.log_text()
            return s.log_text()

    def test_a_placed_call_is_established_and_released_by_the_engine(self):
        self.play("""
            w0 send place 1 description_b64="6QA="
            w0 expect "event":"setting_up"
            e0 expect SET_UP {1} 3=x 5=\\d+ 11=77 33=\xe9\x00
            e0 send ANSWER 1 33=\xff\x00
            w0 expect "event":"stands","description_b64":"/wA="
            e0 send RELEASE 1 31=16
            w0 expect "id":"{1}","event":"released","cause":16
            w0 send release 1
            w0 expect "code":"unknown"
            w0 send watch 1
            w0 expect "event":"released"
            """)

    def test_release_of_an_established_call_reaches_the_engine(self):
        self.play("""
            w0 send place 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            w0 expect setting_up
            w0 expect stands
            w1 send watch 1
            w1 expect "event":"stands"
            w0 send release 1 cause=31
            e0 expect RELEASE {1} 31=31
            w0 expect "event":"released","cause":31
            w1 expect "event":"released","cause":31
            """)

    def test_release_before_the_call_is_established(self):
        self.play("""
            w0 send place 1
            w0 expect setting_up
            e0 expect SET_UP {1}
            w0 send release 1
            w0 expect "event":"turned_away","code":"given_up"
            e0 expect RELEASE {1} 31=16
            e0 send ANSWER 1 33=late
            w0 expect nothing 200
            """)

    def test_socket_closes_before_the_call_is_established(self):
        self.play("""
            w0 send place 1
            e0 expect SET_UP {1}
            w0 close
            e0 expect RELEASE {1} 31=16
            w1 send watch 1
            w1 expect "code":"given_up"
            """)

    def test_an_established_call_survives_its_socket_and_can_be_watched_on_another(self):
        self.play("""
            w0 send place 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            w0 expect setting_up
            w0 expect stands
            w0 close
            e0 expect nothing 300
            w1 send watch 1
            w1 expect "event":"stands","description_b64":"ZA=="
            e0 send RELEASE 1 31=41
            w1 expect "event":"released","cause":41
            """)

    def test_a_call_without_watchers_is_released(self):
        self.play(
            """
            w0 send place 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            w0 expect setting_up
            w0 expect stands
            w0 close
            e0 expect RELEASE {1} 31=16
            """,
            control="keep_s = 0.2",
        )

    def test_a_duplicate_id_is_rejected_also_across_sip_and_the_api(self):
        self.play("""
            w0 send place 1
            w0 expect setting_up
            e0 expect SET_UP {1}
            w0 send place 1
            w0 expect "code":"repeated"
            c0 send INVITE 1
            c0 expect SIP/2.0 482
            c0 send BYE 1
            c0 expect 481
            e0 expect nothing 100
            c0 send INVITE 2
            e0 expect SET_UP {2}
            w0 send place 2
            w0 expect setting_up
            w0 expect "code":"repeated"
            w0 send release 2
            w0 expect "code":"unknown"
            e0 expect nothing 100
            """)

    def test_bad_json_and_bad_messages_leave_the_socket_open(self):
        cases = [
            ("raw {nonsense", "bad_json"),
            ("raw [1]", "bad_version"),
            ('raw {"v":2}', "bad_version"),
            ('raw {"v":1,"do":"dance","id":"1"}', "bad_message"),
            ('raw {"v":1,"do":[]}', "bad_message"),
            ("place 1 patience_ms=true", "bad_message"),
            ("place 1 patience_ms=1e999", "bad_json"),
            ('place 1 id="xyz"', "bad_message"),
            ('place 1 description_b64="%"', "bad_message"),
            ("place 1 dest=1e300", "bad_message"),
            ("place 1 dest=0.5", "bad_message"),
            ("place 1 dest=-9", "bad_message"),
            ("place 1 width=999", "bad_message"),
            ("place 1 patience_ms=-1", "bad_message"),
            ("place 1 patience_ms=1e12", "bad_message"),
            ('place 1 number="a@b"', "bad_message"),
            ("release 1 cause=900", "bad_message"),
            ("watch 9", "unknown"),
        ]
        self.play(
            "\n".join(f'w0 send {m}\nw0 expect "code":"{code}"' for m, code in cases)
            + "\nw0 send place 1\nw0 expect setting_up\ne0 expect SET_UP {1}"
        )

    def test_connections_with_too_long_binary_or_foreign_requests_are_closed(self):
        self.play("w0 send raw " + "x" * 30000 + "\nw0 expect closed 1009")
        with Stage() as s:
            s.party("w0", path="/elsewhere")
            s.party("w1", origin="https://elsewhere.example")
            s.play("w0 expect closed 404\nw1 expect closed 403\nw2 send watch 1\nw2 expect unknown")
            s.party("w2").sock.sendall(b"\x00\x00 not a frame")
            s.play("w2 expect closed 1002")

    def test_silent_new_connections_are_closed_and_shed_when_capacity_is_short(self):
        with Stage(control="most_sockets = 2") as s:
            flood = []
            for _ in range(12):
                flood.append(socket.create_connection(s.web))
                s.pump(0.01)
            s.play("w0 send place 1\nw0 expect setting_up\ne0 expect SET_UP {1}")
            started_at = time.monotonic()
            for sock in flood:
                sock.settimeout(4.0)
                with contextlib.suppress(ConnectionError):
                    assert sock.recv(1) == b""
            assert time.monotonic() - started_at < 4.0

    def test_rejected_and_failed_calls_end_with_their_code(self):
        self.play('w0 send place 1 class="strange"\nw0 expect setting_up\nw0 expect "code":"refused"')
        self.play(
            "w0 send place 1 patience_ms=700\nw0 expect setting_up\ne0 expect SET_UP\n"
            'w0 expect "code":"failed"\ne0 expect RELEASE {1}'
        )

    def test_a_client_that_does_not_read_is_closed_and_its_established_call_continues(self):
        with Stage() as s:
            s.play("w0 send place 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=" + "d" * 12000)
            sock = s.party("w0").sock
            watches = (
                s.party("w0").ws.send(TextMessage(data=json.dumps({"v": 1, "do": "watch", "id": call_id(1)})))
                * 50
            )
            del s.parties["w0"]  # the test stops reading its messages
            sock.settimeout(0.2)
            started_at = time.monotonic()
            while "control client" not in s.log_text() and time.monotonic() - started_at < 20:
                with contextlib.suppress(OSError):
                    sock.sendall(watches)
                s.pump(0.01)
            assert "unread, connection closed" in s.log_text() or "unread" in s.log_text(), s.log_text()
            s.play("w1 send watch 1\nw1 expect stands")
            sock.close()

    def test_a_planned_stop_answers_pending_calls_and_closes_with_1001(self):
        with Stage() as s:
            s.play("""
                w0 send place 1 patience_ms=20000
                w0 expect setting_up
                e0 expect SET_UP {1}
                p send SIGTERM
                w0 expect "code":"refused","later_ms":2000
                w0 expect closed 1001
                p expect 0
                """)

    def test_each_failure_reason_has_its_own_code(self):
        assert set(call_control.CODES) == set(sip_calls.ANSWER_CODES) == set(FailureReason)
        assert len(set(call_control.CODES.values())) == len(FailureReason)

    def test_invalid_settings_are_reported_in_one_line(self):
        for bad in ("most_sockets = 0", "strange = 1", "keep_s = [", 'most_open = "many"'):
            stage = Stage(control=bad)
            with self.subTest(bad):
                assert stage.program.wait(10) == 2 and stage.log_text().count("\n") == 1, stage.log_text()
            stage.__exit__()


ENDINGS = {  # how a call ends, by the last letter of its number
    "a": "the engine releases it",
    "b": "the caller releases it",
    "c": "the called number is busy",
    "d": "the caller abandons its setup",
    "f": "the engine releases it because of a failure",
}


def ending_of(n):
    """Returns the ending, a key of ENDINGS, of the two calls with number `n`."""
    return "f" if n % 50 == 7 else "d" if n % 20 == 3 else "c" if n % 10 == 5 else "b" if n % 3 else "a"


class SideBySide(unittest.TestCase):
    """Each number is called once by SIP and once over WebSocket; the number determines how its calls end.

    Calls with even ids are made by SIP, those with odd ids over WebSocket.
    """

    EACH, MAX_OPEN, SECONDS = 5_000, 24, 120.0

    def test_ten_thousand_calls_end_alike_and_no_rule_is_violated(self):
        lane = {"name": "x", "aim": 20000.0, "credit": 1.0, "late_value": 0.25, "hard_limit": 40000.0}
        family = {
            "network_form": "groups",
            "own_number": -1,
            "clear_wait": 200.0,
            "repeat": 0.0,
            "holding": [20.0],
            "skilled_pools": [[0, 1]],
        }
        with Stage(settings={"lanes": [lane], "family_info": family}) as s:
            self.stage, self.next_call, self.open, self.done = s, 0, set(), {}
            self.attempts, self.sends, self.established, self.violations = {}, Counter(), {}, []
            self.releases, self.drained_at = Counter(), None
            for n in range(4):
                s.party(f"c{n}")
                s.party(f"w{n}")
            s.hook, until = self.received, time.monotonic() + self.SECONDS
            while len(self.done) < 2 * self.EACH:
                assert time.monotonic() < until, (len(self.done), self.open, s.log_text())
                while len(self.open) < self.MAX_OPEN and self.next_call < 2 * self.EACH:
                    self.place(self.next_call)
                    self.next_call += 1
                if self.drained_at is None and self.next_call > self.EACH:
                    s.party("b").send("4 draining e1")
                    self.drained_at = time.monotonic()
                s.pump(0.05)
            settle = time.monotonic() + 0.5
            while time.monotonic() < settle:
                s.pump(0.05)
            assert "ERROR" not in s.log_text(), s.log_text()
        self.check()

    def place(self, n):
        call, number, party = call_id(n), f"{n // 2:x}{ending_of(n // 2)}", "cw"[n % 2] + str(n // 2 % 4)
        self.open.add(call)
        if party[0] == "c":
            facts = f"X-Patience=30000 X-Facts=dest:{n // 2 % 2}"
            self.stage.party(party).send(f"INVITE {n} number={number} {facts}")
        else:
            self.stage.party(party).send(f'place {n} number="{number}" patience_ms=30000 dest={n // 2 % 2}')

    def finish(self, call, *outcome):
        """Records the end of a call as its caller sees it; a second end is a violation."""
        if call in self.done:
            self.violations.append(f"{call} ended twice: {self.done[call]} and {outcome}")
        self.done[call] = outcome
        self.open.discard(call)

    def received(self, name, message):
        """The hook of the stage: passes the message to the method for its type of party."""
        getattr(self, {"c": "sip", "w": "web", "e": "engine", "b": "watch_server"}[name[0]])(name, message)

    def watch_server(self, name, message):
        pass

    # the callers

    def call_established(self, name, call, description):
        if call in self.done or self.descriptions.setdefault(call, description) is not description:
            self.violations.append(f"{call} established twice or after its end")
        if ending_of(int(call, 16) // 2) == "b":
            self.stage.party(name).send(f"{'BYE' if name[0] == 'c' else 'release'} {int(call, 16)}")
            if name[0] == "c":
                self.finish(call, "stood", description, "ended by the caller")

    def setUp(self):
        self.descriptions = {}

    def sip(self, name, message):
        call = (message.partition("Call-ID: ")[2] + "|")[:16]
        if message.startswith("BYE"):
            cause = int(message.partition("cause=")[2].split("|")[0])
            self.finish(call, "stood", self.descriptions.get(call), cause)
        elif "CSeq: 1 INVITE" in message:
            if message.startswith("SIP/2.0 200"):
                self.call_established(name, call, message.partition("||")[2])
            else:
                self.finish(call, {"503": "refused", "500": "failed"}[message[8:11]], "X-Later-Ms" in message)

    def web(self, name, message):
        fields = json.loads(message)
        call, event = fields["id"], fields["event"]
        if event == "stands":
            self.call_established(name, call, b64decode(fields["description_b64"]).decode("latin-1"))
        elif event == "released" and ending_of(int(call, 16) // 2) == "b":
            self.finish(call, "stood", self.descriptions.get(call), "ended by the caller")
        elif event == "released":
            self.finish(call, "stood", self.descriptions.get(call), fields["cause"])
        elif event == "turned_away" and fields["code"] != "given_up":
            self.finish(call, fields["code"], "later_ms" in fields)
        elif event not in ("setting_up", "turned_away"):
            self.violations.append(message)

    # the quote engines, which keep the records that `check` needs

    def engine(self, name, message):
        message_type, call, *parameters = message.split(" ")
        n = int(call, 16)
        if message_type == "SET_UP":
            fields = dict(word.split("=", 1) for word in parameters)
            expected = ending_of(n // 2)
            if call in self.attempts or call in self.established or call in self.done:
                self.violations.append(
                    f"{call} sent while an attempt is in flight, or while established or over"
                )
            sent_by_caller = ("x", f"{n // 2:x}{expected}", "v=0")
            if call not in self.open or (fields["3"], fields["11"], fields["33"]) != sent_by_caller:
                self.violations.append(f"not as its caller sent it: {message}")
            if name == "e1" and self.drained_at and time.monotonic() > self.drained_at + 2.0:
                self.violations.append(f"{call} sent to a draining engine")
            self.sends[call] += 1
            self.attempts[call] = name
            send = self.stage.party(name).send
            if expected == "c":
                del self.attempts[call]
                send(f"RELEASE {n} 31=17 17=number_busy")
            elif expected == "d":
                party = "cw"[n % 2] + str(n // 2 % 4)
                self.stage.party(party).send(f"{'CANCEL' if n % 2 == 0 else 'release'} {n}")
                self.finish(call, "given up")
            else:
                self.established[call] = self.attempts.pop(call)
                send("PROGRESS " + str(n))
                send(f"ANSWER {n} 33=made\x00for{n // 2}")
                if expected != "b":
                    del self.established[call]
                    send(f"RELEASE {n} 31={16 if expected == 'a' else 41}")
        elif message_type == "RELEASE":
            self.releases[call] += 1
            if (self.attempts if ending_of(n // 2) == "d" else self.established).pop(call, None) != name:
                self.violations.append(f"{call}: release without an attempt or a call")

    def check(self):
        assert not self.violations, self.violations[:5]
        assert not self.attempts and not self.established, (self.attempts, self.established)
        expected = {
            "a": lambda k: ("stood", f"made\x00for{k}", 16),
            "c": lambda k: ("refused", True),
            "b": lambda k: ("stood", f"made\x00for{k}", "ended by the caller"),
            "d": lambda k: ("given up",),
            "f": lambda k: ("stood", f"made\x00for{k}", 41),
        }
        for k in range(self.EACH):
            by_sip, by_web = self.done[call_id(2 * k)], self.done[call_id(2 * k + 1)]
            assert by_sip == by_web == expected[ending_of(k)](k), (k, by_sip, by_web)
            assert max(self.sends[call_id(2 * k + x)] for x in (0, 1)) <= 3  # attempts, by the settings
        assert Counter(map(ending_of, range(self.EACH))).keys() == ENDINGS.keys()
