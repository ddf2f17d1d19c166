"""The softswitch on real sockets: SIP callers, quote engines, the notice board. See support/harness.py."""

import os
import socket
import time
import unittest

from support.harness import Stage


class Scenario(unittest.TestCase):
    def play(self, scenario, **stage):
        with Stage(**stage) as s:
            s.play(scenario)
            assert s.program.poll() in (None, 0), s.log_text()
            assert "ERROR" not in s.log_text(), s.log_text()
            return s.log_text()


class Calls(Scenario):
    def test_a_call_stands_and_ends(self):
        self.play("""
            c0 send INVITE 1 body=\xe9\x00 X-Retry=1
            e0 expect SET_UP {1} 3=x 5=\\d+ 11=77 33=\xe9\x00
            e0 send PROGRESS 1
            e0 send ANSWER 1 33=\xff\x01here
            c0 expect ^SIP/2.0 200 .*Call-ID: {1}.*CSeq: 1 INVITE.*Content-Length: 6.*\xff\x01here$
            c0 send ACK 1
            e0 send RELEASE 1 31=16
            e0 send RELEASE 1 31=16
            c0 expect ^BYE .*Call-ID: {1}.*cause=16
            c0 expect nothing 150
            """)

    def test_pieces_case_and_several_at_once(self):
        self.play(
            r"""
            c0 send raw invite: x
            c0 close
            c1 send raw INVITE sip:7@net SIP/2.0\r\nvIA: a\r\ni: 000000000000000
            c1 wait 60
            c1 send raw 1\r\nCSEQ: 1 INVITE\r\nsubject: x\r\nx-patience: 3000\r\ncontent-LENGTH: 2\r\n\r
            c1 wait 60
            c1 send raw \nabOPTIONS sip:ping@net SIP/2.0\r\nCSeq: 3 OPTIONS\r\nContent-Length: 0\r\n\r\n
            e0 expect SET_UP {1} .*33=ab
            c1 expect 200 OK.*OPTIONS
            """,
            engines=1,
        )

    def test_given_up_crossing_answer_and_unknown_messages(self):
        self.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            c0 send CANCEL 1
            c0 expect 200 .*CSeq: 1 CANCEL
            e0 expect RELEASE {1} 31=16
            e0 send ANSWER 1 33=late
            c0 send BYE 5
            e0 expect RELEASE {5}
            c0 expect 200 .*BYE
            c0 send BYE 5
            c0 expect 481 .*BYE
            c0 send CANCEL 6
            c0 expect 481 .*CANCEL
            e0 send RELEASE 7 31=41
            c0 expect ^BYE .*Call-ID: {7}
            e0 send RELEASE 7 31=41
            e0 send TESTED 0 31=0
            c0 expect nothing 200
            """)

    def test_refusals_go_elsewhere_and_the_answer_tells_when_to_come_back(self):
        self.play("""
            c0 send INVITE 1 X-Patience=3000
            e0 expect SET_UP {1}
            e0 send RELEASE 1 31=34 17=all_trunks_busy
            e1 expect SET_UP {1}
            e1 send RELEASE 1 31=17 17=number_busy
            c0 expect SIP/2.0 503 .*X-Later-Ms: 2000.*
            c0 expect nothing 100
            e0 expect nothing 100
            e1 expect nothing 100
            """)

    def test_patience_is_kept_and_the_release_wait_too(self):
        with Stage() as s:
            began = time.monotonic()
            s.play("c0 send INVITE 1 X-Patience=700\ne0 expect SET_UP {1}\nc0 expect SIP/2.0 500 ")
            assert 0.55 < time.monotonic() - began < 0.7
            s.play(
                "e0 expect RELEASE {1} 31=16\nc0 send INVITE 2 X-Facts=dest:1\n"
                "e1 expect SET_UP {2}\ne1 send RELEASE 2 31=41"
            )
            began = time.monotonic()
            while s.next("e0", 0.01) is None and s.next("e1", 0.01) is None:
                assert time.monotonic() - began < 3.0
            assert time.monotonic() - began > 0.35  # 300 ms in these settings, and 50 more

    def test_patience_counts_from_the_last_byte_though_the_program_stood_still(self):
        with Stage() as s:
            s.play("c0 send OPTIONS\nc0 expect 200\np send SIGSTOP\nc0 send INVITE 1 X-Patience=900")
            began = time.monotonic()
            s.play("c0 wait 400\np send SIGCONT\nc0 expect SIP/2.0 5")
            assert time.monotonic() - began < 0.9

    def test_a_repeated_set_up_is_not_sent_twice(self):
        self.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            c0 send INVITE 1
            e0 expect nothing 150
            e0 send ANSWER 1 33=d
            c0 expect 200 OK
            c1 send INVITE 1
            c1 expect SIP/2.0 482
            """)


class Connections(Scenario):
    def test_a_bye_takes_any_connection_and_so_does_ours(self):
        self.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 OK
            c0 send INVITE 2
            e0 expect SET_UP {2}
            e0 send ANSWER 2 33=d
            c0 expect 200 OK
            c0 close
            c1 send BYE 1 Reason=Q.850;cause=31
            c1 expect 200 .*BYE
            e0 expect RELEASE {1} 31=31
            c1 close
            c1 wait 100
            e0 send RELEASE 2 31=16
            e0 wait 100
            c2 send OPTIONS
            c2 expect 200
            c2 expect nothing 50
            c2 send ACK 9
            c2 expect ^BYE .*Call-ID: {2}
            """)

    def test_an_engine_that_hangs_up_is_called_anew_and_its_release_heard(self):
        self.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 OK
            c0 send INVITE 2
            e0 expect SET_UP {2}
            e0 close
            e0 send RELEASE 1 31=16
            c0 expect ^BYE .*Call-ID: {1}.*cause=16
            """)

    def test_a_dead_engine_cuts_its_calls(self):
        with Stage() as s:
            s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK")
            s.listeners["e0"].close()
            s.play("e0 close\nc0 expect ^BYE .*Call-ID: {1}.*cause=41")

    def test_a_silent_engine_is_tested_and_its_calls_released_in_time(self):
        with Stage() as s:
            s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK")
            began = time.monotonic()
            del s.listeners["e0"]  # new connections come up, and nothing comes on them either
            s.play("e0 expect TEST")
            while (came := s.next("c0", 1.0)) is None:
                assert time.monotonic() - began < 8.0
            assert came.startswith("BYE")
            assert "cause=41" in came

    def test_a_link_that_stays_open_and_brings_nothing_is_renewed_and_its_calls_go_on(self):
        with Stage(engines=1) as s:
            s.play(
                "c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK\n"
                "c0 send INVITE 2 X-Patience=9000\ne0 expect SET_UP {2}"
            )
            began = time.monotonic()
            s.play(
                "e0 expect TEST\ne0 expect end\ne0 wait 50\ne0 expect SET_UP {2}\ne0 send ANSWER 2 33=d\n"
                "c0 expect 200 OK\nc0 expect nothing 50"
            )
            assert time.monotonic() - began < 3.0

    def test_a_link_that_misses_the_beat_of_its_engines_state_is_renewed_soon(self):
        with Stage(engines=1) as s:
            s.play(
                "e0 wait 50\n"
                + 15 * "e0 send STATE 0 21=x0:9;x1:9\ne0 wait 300\n"
                + "c0 send INVITE 1\ne0 expect SET_UP {1}"
            )
            began = time.monotonic()
            s.play("e0 expect TEST\ne0 expect end")
            assert 0.2 < time.monotonic() - began < 1.0  # 2 s without it

    def test_a_caller_that_hangs_up_gives_its_set_up_up(self):
        self.play("c0 send INVITE 1\ne0 expect SET_UP {1}\nc0 close\ne0 expect RELEASE {1} 31=16")


class Notices(Scenario):
    def test_a_draining_engine_gets_nothing_new_also_after_the_board_was_lost(self):
        self.play("""
            b expect after 3
            b send 4 draining e0
            b wait 100
            c0 send INVITE 1
            e1 expect SET_UP {1}
            b close
            b expect after 4
            b send 5 ready e0
            b wait 100
            c0 send INVITE 2
            e0 expect SET_UP {2}
            b send 5 gone e0
            b send raw 0 00000003aabbcc
            b expect end
            """)

    def test_calls_at_an_engine_that_is_gone_are_released(self):
        self.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 OK
            b send 4 gone e0
            c0 expect ^BYE .*Call-ID: {1}
            """)


class Reload(Scenario):
    """Guards against a SIGHUP that ends the program, and a board that is left but still followed."""

    def test_the_new_board_is_followed_with_the_numbers_going_on_and_calls_go_on(self):
        said = self.play("""
            b expect after 3
            b send 4 draining e0
            c0 send INVITE 1
            e1 expect SET_UP {1}
            p config b2
            b expect end
            b2 expect after 4
            e1 send ANSWER 1 33=d
            c0 expect 200 OK
            b2 send 4 draining e1
            b2 send 5 ready e0
            b2 wait 100
            c0 send INVITE 2
            e0 expect SET_UP {2}
            p config b
            b2 expect end
            b expect after 5
            """)
        assert said.count("configuration reloaded") == 2, said

    def test_a_file_that_cannot_be_served_keeps_the_old_board(self):
        for bad in ("{", "[]", '{"board":"nowhere"}', '{"board":"127.0.0.1:9","known":{"notices":[{}]}}'):
            with self.subTest(bad), Stage() as s:
                s.play(
                    f"b expect after 3\np config {bad}\nb expect nothing 300\n"
                    "c0 send INVITE 1\ne0 expect SET_UP {1}"
                )
                assert s.log_text().count("ERROR") == s.log_text().count("configuration not reloaded") == 1, (
                    s.log_text()
                )


INVITE = r"INVITE sip:7@net SIP/2.0\r\nCall-ID: 0000000000000001\r\n"


class BadInput(Scenario):
    def test_each_is_answered_or_closed_with_one_line(self):
        for sent, then in (
            ("raw nonsense\\r\\n\\r\\n", "400"),
            ("raw INVITE sip:7@net SIP/2.0\\r\\nno colon\\r\\n", "400"),
            (f"raw {INVITE}Content-Length: -1\\r\\n\\r\\n", "400"),
            (f"raw {INVITE}\\r\\n", "400"),
            (f"raw {INVITE}Content-Length: 1\\r\\nl: 2\\r\\n\\r\\n", "400"),
            (f"raw {INVITE}Content-Length: 62914560\\r\\n\\r\\n", "513"),
            (f"raw {INVITE}Content-Length: {'9' * 20}\\r\\n\\r\\n", "513"),
            ("raw " + "x" * 17000, "end"),
            *(
                (f"INVITE 1 X-Patience={bad}", "400")
                for bad in ("soon", "nan", "-4", "0", "1_0", "9" * 20, "")
            ),
            *(
                (f"INVITE 1 X-Facts={bad}", "400")
                for bad in (
                    "dest:1e999",
                    "dest:nan",
                    "dest:-9",
                    "dest:.5",
                    "x",
                    "width:999",
                    "width:-1",
                    "via:",
                    "dest:99999",
                )
            ),
            ("INVITE 1 Call-ID=xyz", "400"),
            ("INVITE 1 Call-ID=", "400"),
            ("INVITE 1 number=" + "7" * 65, "400"),
            ("INVITE 1 number=\xe9", "400"),
            ("INVITE 1 Subject=\xe9", "400"),
            ("REGISTER 1", "405"),
        ):
            with self.subTest(sent[:40]):
                said = self.play(
                    f"c0 send {sent}\nc0 expect {'SIP/2.0 ' * then.isdigit()}{then}\n"
                    "e0 expect nothing 20\nc1 send OPTIONS\nc1 expect 200"
                )
                assert said.count("WARNING") == (then != "405"), said

    def test_one_id_twice_is_answered_at_once_and_the_first_set_up_goes_on(self):
        self.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            c1 send INVITE 1 body=other
            c1 expect SIP/2.0 482
            c2 send INVITE 1
            c2 expect SIP/2.0 482
            c0 send INVITE 1 body=other
            c0 expect SIP/2.0 482
            e0 send ANSWER 1 33=d
            c0 expect SIP/2.0 200
            e0 expect nothing 50
            """)

    def test_refusals_and_crossing_ends_close_no_callers_connection(self):
        with Stage(engines=1, settings={"limits": {"send_cap": 1}}) as s:
            for n in range(1, 81):
                s.play(
                    f"c0 send INVITE {n} X-Patience=900\ne0 expect SET_UP\ne0 send RELEASE {n} 31=102\n"
                    f"c0 expect SIP/2.0 503\nc0 send CANCEL {n}\nc0 expect 481"
                )

    def test_the_same_again_as_soon_as_it_is_turned_away_ends_the_connection(self):
        for again, most in (("INVITE 1 X-Patience=soon", 17), ("INVITE 1 Subject=strange", 65)):
            with self.subTest(again), Stage() as s:
                got = []
                while got[-1:] != ["end"] and len(got) <= most:
                    s.party("c0").send(again)
                    got.append(s.next("c0"))
                code = "400" if "soon" in again else "503"
                assert len(got) == most and all(said.startswith(f"SIP/2.0 {code}") for said in got[:-1]), got

    def test_more_set_ups_at_once_than_a_newcomer_may_have_open_are_refused(self):
        with Stage() as s:
            for n in range(1, 81):
                s.party("c0").send(f"INVITE {n}")
            s.play("e0 expect SET_UP\nc0 expect SIP/2.0 503 .*Call-ID: {65}.*X-Later-Ms")

    def test_silent_half_and_idle_connections_are_closed_and_a_callers_is_kept(self):
        with Stage(config={"limits": {"sockets": 64}}) as s:
            s.play("c0 send OPTIONS\nc0 expect 200\nc1 send raw INVITE sip:7@net SIP/2.0\\r\\nVia: a\\r\\n")
            s.party("c2")
            began = time.monotonic()
            s.play("c2 expect end\nc1 expect SIP/2.0 408\nc1 expect end")
            assert 1.5 < time.monotonic() - began < 3.0
            for n in range(3, 9):  # more than the few idle ones that are kept: the longest idle is closed
                s.play(f"c{n} send OPTIONS\nc{n} expect 200")
            began = time.monotonic()
            while (end := s.next("c0", 1.0)) is None:
                assert time.monotonic() - began < 8.0
            assert end == "end"
            s.play("c8 expect nothing 100")

    def test_a_crowd_that_asks_once_and_stays_closes_no_callers_connection(self):
        with Stage(config={"limits": {"sockets": 64}}) as s:
            s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200")
            crowd = []
            for _ in range(40):
                crowd.append(socket.create_connection(s.sip))
                crowd[-1].sendall(b"OPTIONS sip:ping@net SIP/2.0\r\nContent-Length: 0\r\n\r\n")
                s.pump(0.01)
            s.play("c0 send INVITE 2\ne0 expect SET_UP {2}\ne0 send ANSWER 2 33=d\nc0 expect 200")
            s.party("c1")  # a newcomer beside it has a moment to say what it wants
            for _ in range(10):
                crowd.append(socket.create_connection(s.sip))
            s.play("c1 wait 50\nc1 send INVITE 3\ne0 expect SET_UP {3}\ne0 send ANSWER 3 33=d\nc1 expect 200")
            for sock in crowd:
                sock.close()

    def test_a_flood_of_silent_connections_leaves_room_for_callers_and_engines(self):
        with Stage(config={"limits": {"sockets": 80}}) as s:
            flood = []
            for _ in range(200):
                flood.append(socket.create_connection(s.sip))
                s.pump(0)
            s.play(
                "c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 close\n"
                "c0 send INVITE 2\ne0 wait 150\ne0 expect SET_UP"
            )
            assert len(os.listdir(f"/proc/{s.program.pid}/fd")) < 80
            for sock in flood:
                sock.close()

    def test_a_spoilt_answer_ends_its_connection_and_the_set_ups_there_are_sent_anew_in_time(self):
        # guards against reading on behind noise, and calls that wait for answers a spoilt link can't bring
        good, standing = "00130900000000000000{n}21000161", "{n:016x}"
        for spoilt in (
            "0005" + "68" * 5,
            "fff3" + "00" * 40,
            "3000" + "09" * 30,
            "00",  # noise, cut short
            "000909" + standing,
            "00090c" + standing,
            "000977" + standing,  # lacking, unknown
            "000f09" + standing + "2100016121000162",
        ):  # longer than its length says
            with self.subTest(spoilt), Stage() as s:
                s.play("c0 send INVITE 1\nc0 send INVITE 2\ne0 expect SET_UP {1}\ne0 expect SET_UP {2}")
                s.party("e0").sock.sendall(bytes.fromhex(spoilt.format(n=1) + good.format(n="02")))
                s.play(
                    "e0 expect end\ne0 wait 100\nc0 expect nothing 50\n"
                    "e0 expect SET_UP\ne0 expect SET_UP\n"
                    "e0 send ANSWER 1 33=d\nc0 expect 200 .*Call-ID: {1}"
                )
                assert s.log_text().count("WARNING engine") == 1, s.log_text()

    def test_more_than_belongs_to_an_answer_is_dropped_and_the_good_one_counts_once(self):
        self.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 77 33=x
            e0 send ANSWER 1 33=d
            e0 send ANSWER 1 33=d
            c0 expect 200 .*Call-ID: {1}
            e0 send RELEASE 1 31=16
            e0 send ANSWER 1 33=d
            c0 expect ^BYE .*Call-ID: {1}
            e0 expect nothing 100
            c0 expect nothing 50
            """)

    def test_an_engine_that_hangs_up_at_once_is_called_anew_with_back_off(self):
        with Stage() as s:
            until, came = time.monotonic() + 2.0, 0
            while time.monotonic() < until:
                s.pump(0.02)
                if s.parties.get("e0"):
                    came += 1
                    s.parties.pop("e0").sock.close()
            assert 4 <= came <= 12, came

    def test_a_class_that_is_not_known_is_refused(self):
        self.play("c0 send INVITE 1 Subject=strange\nc0 expect SIP/2.0 503")

    def test_a_bad_configuration_is_one_plain_line(self):
        for config in (
            {"settings": {}},
            {"listen": "here"},
            {"board": None},
            {"seed": "zz"},
            {"listen": "127.0.0.1:1x"},
            {"known": {"notices": [{"rev": 1}]}},
        ):
            stage = Stage(config=config)
            with self.subTest(config):
                assert stage.program.wait(10) == 2
                assert stage.log_text().count("\n") == 1 and "Traceback" not in stage.log_text(), (
                    stage.log_text()
                )
            stage.__exit__()


class Stopping(Scenario):
    def test_sigterm_answers_what_is_open_and_what_still_comes(self):
        with Stage() as s:
            s.play("""
                c0 send INVITE 1
                e0 expect SET_UP {1}
                p send SIGUSR1
                p send SIGTERM
                c1 wait 250
                c1 send INVITE 2
                e1 expect SET_UP {2}
                e1 send ANSWER 2 33=d
                c1 expect 200 OK
                c0 expect SIP/2.0 5\\d\\d
                c1 expect nothing 100
                p expect 0
                """)
            assert s.log_text().count("counters {") == 2

    def test_the_end_comes_before_sigkill_also_where_deadlines_are_short(self):
        # guards against a stop that waits for calls that stand until it is killed, 0.7 s after the deadline
        lane = {"name": "x", "aim": 500.0, "credit": 1.0, "hard_limit": 900.0}
        with Stage(settings={"lanes": [lane]}) as s:
            s.play(
                "c0 send INVITE 1 X-Patience=900\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\n"
                "c0 expect 200 OK"
            )
            began = time.monotonic()
            s.play("p send SIGTERM\np expect 0")
            assert time.monotonic() - began < 1.6

    def test_the_next_process_releases_the_calls_of_one_that_was_killed(self):
        with Stage() as s:
            for n in (1, 2):
                s.play(f"c0 send INVITE {n}\ne0 expect SET_UP\ne0 send ANSWER {n} 33=d\nc0 expect 200 OK")
            s.program.kill()
            s.play("c0 expect end\ne0 expect end")
            s.parties.clear()
            s.start()
            s.play("""
                c0 send ACK 9
                c0 send OPTIONS
                c0 expect 200
                e0 send RELEASE 1 31=16
                c0 expect ^BYE .*Call-ID: {1}.*cause=16
                e0 send RELEASE 1 31=16
                c0 send BYE 2
                c0 expect 200 .*BYE
                e0 expect RELEASE {2} 31=16
                c0 expect nothing 50
                """)
