"""The softswitch on real sockets: SIP callers, quote engines, endpoint watch. See support/harness.py."""

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
    def test_a_call_is_established_and_released(self):
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

    def test_split_messages_header_case_and_several_messages_at_once(self):
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

    def test_cancelled_call_crossing_answer_and_messages_of_unknown_calls(self):
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

    def test_a_rejected_call_is_retried_elsewhere_and_the_response_has_retry_advice(self):
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
            started_at = time.monotonic()
            s.play("c0 send INVITE 1 X-Patience=700\ne0 expect SET_UP {1}\nc0 expect SIP/2.0 500 ")
            assert 0.55 < time.monotonic() - started_at < 0.7
            s.play(
                "e0 expect RELEASE {1} 31=16\nc0 send INVITE 2 X-Facts=dest:1\n"
                "e1 expect SET_UP {2}\ne1 send RELEASE 2 31=41"
            )
            started_at = time.monotonic()
            while s.next("e0", 0.01) is None and s.next("e1", 0.01) is None:
                assert time.monotonic() - started_at < 3.0
            assert (
                time.monotonic() - started_at > 0.35
            )  # the retry delay of these settings is 300 ms; 50 ms are added on sockets

    def test_the_callers_timeout_counts_from_the_last_byte_although_the_process_was_stopped(self):
        with Stage() as s:
            s.play("c0 send OPTIONS\nc0 expect 200\np send SIGSTOP\nc0 send INVITE 1 X-Patience=900")
            started_at = time.monotonic()
            s.play("c0 wait 400\np send SIGCONT\nc0 expect SIP/2.0 5")
            assert time.monotonic() - started_at < 0.9

    def test_a_retransmitted_call_setup_is_not_sent_twice(self):
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
    def test_byes_in_both_directions_may_use_any_connection(self):
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

    def test_a_closed_engine_link_is_reopened_and_releases_arrive_on_it(self):
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

    def test_calls_at_a_dead_engine_are_released(self):
        with Stage() as s:
            s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK")
            s.listeners["e0"].close()
            s.play("e0 close\nc0 expect ^BYE .*Call-ID: {1}.*cause=41")

    def test_a_silent_engine_is_probed_and_its_calls_are_released_in_time(self):
        with Stage() as s:
            s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK")
            started_at = time.monotonic()
            del s.listeners[
                "e0"
            ]  # new connections are accepted by the kernel, but nothing is ever sent on them
            s.play("e0 expect TEST")
            while (message := s.next("c0", 1.0)) is None:
                assert time.monotonic() - started_at < 8.0
            assert message.startswith("BYE")
            assert "cause=41" in message

    def test_an_open_link_that_stays_silent_is_reopened_and_its_calls_continue(self):
        with Stage(engines=1) as s:
            s.play(
                "c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200 OK\n"
                "c0 send INVITE 2 X-Patience=9000\ne0 expect SET_UP {2}"
            )
            started_at = time.monotonic()
            s.play(
                "e0 expect TEST\ne0 expect end\ne0 wait 50\ne0 expect SET_UP {2}\ne0 send ANSWER 2 33=d\n"
                "c0 expect 200 OK\nc0 expect nothing 50"
            )
            assert time.monotonic() - started_at < 3.0

    def test_a_link_without_its_engines_regular_state_reports_is_reopened_soon(self):
        with Stage(engines=1) as s:
            s.play(
                "e0 wait 50\n"
                + 15 * "e0 send STATE 0 21=x0:9;x1:9\ne0 wait 300\n"
                + "c0 send INVITE 1\ne0 expect SET_UP {1}"
            )
            started_at = time.monotonic()
            s.play("e0 expect TEST\ne0 expect end")
            assert (
                0.2 < time.monotonic() - started_at < 1.0
            )  # without the check for missing load reports it takes 2 s

    def test_a_closed_caller_connection_abandons_its_call_setups(self):
        self.play("c0 send INVITE 1\ne0 expect SET_UP {1}\nc0 close\ne0 expect RELEASE {1} 31=16")


class EndpointUpdates(Scenario):
    def test_a_draining_engine_gets_no_new_calls_also_after_the_watch_connection_was_lost(self):
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

    def test_calls_at_a_removed_engine_are_released(self):
        self.play("""
            c0 send INVITE 1
            e0 expect SET_UP {1}
            e0 send ANSWER 1 33=d
            c0 expect 200 OK
            b send 4 gone e0
            c0 expect ^BYE .*Call-ID: {1}
            """)


class Reload(Scenario):
    """Guards against a SIGHUP that ends the program, and against updates from a replaced watch server."""

    def test_the_new_watch_server_continues_the_revisions_and_calls_continue(self):
        log = self.play("""
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
        assert log.count("configuration reloaded") == 2, log

    def test_an_invalid_file_keeps_the_old_watch_server(self):
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
    def test_each_bad_message_is_answered_or_closed_with_one_log_line(self):
        for sent, expected in (
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
                log = self.play(
                    f"c0 send {sent}\nc0 expect {'SIP/2.0 ' * expected.isdigit()}{expected}\n"
                    "e0 expect nothing 20\nc1 send OPTIONS\nc1 expect 200"
                )
                assert log.count("WARNING") == (expected != "405"), log

    def test_a_duplicate_id_is_answered_at_once_and_the_first_call_setup_continues(self):
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

    def test_rejections_and_crossing_cancels_close_no_connection(self):
        with Stage(engines=1, settings={"limits": {"send_cap": 1}}) as s:
            for n in range(1, 81):
                s.play(
                    f"c0 send INVITE {n} X-Patience=900\ne0 expect SET_UP\ne0 send RELEASE {n} 31=102\n"
                    f"c0 expect SIP/2.0 503\nc0 send CANCEL {n}\nc0 expect 481"
                )

    def test_repeating_a_message_as_soon_as_it_is_rejected_closes_the_connection(self):
        for repeated, limit in (("INVITE 1 X-Patience=soon", 17), ("INVITE 1 Subject=strange", 65)):
            with self.subTest(repeated), Stage() as s:
                responses = []
                while responses[-1:] != ["end"] and len(responses) <= limit:
                    s.party("c0").send(repeated)
                    responses.append(s.next("c0"))
                code = "400" if "soon" in repeated else "503"
                assert len(responses) == limit and all(
                    response.startswith(f"SIP/2.0 {code}") for response in responses[:-1]
                ), responses

    def test_too_many_pending_call_setups_on_a_new_connection_are_rejected(self):
        with Stage() as s:
            for n in range(1, 81):
                s.party("c0").send(f"INVITE {n}")
            s.play("e0 expect SET_UP\nc0 expect SIP/2.0 503 .*Call-ID: {65}.*X-Later-Ms")

    def test_silent_half_written_and_idle_connections_are_closed_and_recent_ones_are_retained(self):
        with Stage(config={"limits": {"sockets": 64}}) as s:
            s.play("c0 send OPTIONS\nc0 expect 200\nc1 send raw INVITE sip:7@net SIP/2.0\\r\\nVia: a\\r\\n")
            s.party("c2")
            started_at = time.monotonic()
            s.play("c2 expect end\nc1 expect SIP/2.0 408\nc1 expect end")
            assert 1.5 < time.monotonic() - started_at < 3.0
            for n in range(3, 9):  # more idle connections than are retained: the longest idle one is closed
                s.play(f"c{n} send OPTIONS\nc{n} expect 200")
            started_at = time.monotonic()
            while (end := s.next("c0", 1.0)) is None:
                assert time.monotonic() - started_at < 8.0
            assert end == "end"
            s.play("c8 expect nothing 100")

    def test_many_idle_connections_with_one_request_each_displace_no_caller(self):
        with Stage(config={"limits": {"sockets": 64}}) as s:
            s.play("c0 send INVITE 1\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\nc0 expect 200")
            crowd = []
            for _ in range(40):
                crowd.append(socket.create_connection(s.sip))
                crowd[-1].sendall(b"OPTIONS sip:ping@net SIP/2.0\r\nContent-Length: 0\r\n\r\n")
                s.pump(0.01)
            s.play("c0 send INVITE 2\ne0 expect SET_UP {2}\ne0 send ANSWER 2 33=d\nc0 expect 200")
            s.party("c1")  # a new connection beside the crowd has time to send its first request
            for _ in range(10):
                crowd.append(socket.create_connection(s.sip))
            s.play("c1 wait 50\nc1 send INVITE 3\ne0 expect SET_UP {3}\ne0 send ANSWER 3 33=d\nc1 expect 200")
            for sock in crowd:
                sock.close()

    def test_a_flood_of_silent_connections_leaves_capacity_for_callers_and_engines(self):
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

    def test_a_corrupt_engine_message_closes_its_link_and_pending_call_setups_are_resent_in_time(self):
        # Guards against reading on behind corrupt data, and calls that wait for answers on a corrupt link.
        valid_answer, call_field = "00130900000000000000{n}21000161", "{n:016x}"
        for corrupt in (
            "0005" + "68" * 5,
            "fff3" + "00" * 40,
            "3000" + "09" * 30,
            "00",  # a message cut short
            "000909" + call_field,  # an answer without its required fields
            "00090c" + call_field,  # a release without its required fields
            "000977" + call_field,  # unknown type
            "000f09" + call_field + "2100016121000162",  # longer than its length field says
        ):
            with self.subTest(corrupt), Stage() as s:
                s.play("c0 send INVITE 1\nc0 send INVITE 2\ne0 expect SET_UP {1}\ne0 expect SET_UP {2}")
                s.party("e0").sock.sendall(bytes.fromhex(corrupt.format(n=1) + valid_answer.format(n="02")))
                s.play(
                    "e0 expect end\ne0 wait 100\nc0 expect nothing 50\n"
                    "e0 expect SET_UP\ne0 expect SET_UP\n"
                    "e0 send ANSWER 1 33=d\nc0 expect 200 .*Call-ID: {1}"
                )
                assert s.log_text().count("WARNING engine") == 1, s.log_text()

    def test_answers_of_unknown_calls_and_duplicate_answers_are_dropped(self):
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

    def test_an_engine_that_closes_its_links_at_once_is_redialled_with_back_off(self):
        with Stage() as s:
            until, connections = time.monotonic() + 2.0, 0
            while time.monotonic() < until:
                s.pump(0.02)
                if s.parties.get("e0"):
                    connections += 1
                    s.parties.pop("e0").sock.close()
            assert 4 <= connections <= 12, connections

    def test_an_unknown_class_is_rejected(self):
        self.play("c0 send INVITE 1 Subject=strange\nc0 expect SIP/2.0 503")

    def test_an_invalid_configuration_is_reported_in_one_line(self):
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
    def test_sigterm_answers_pending_and_still_arriving_call_setups(self):
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

    def test_a_stop_ends_before_sigkill_also_with_short_deadlines(self):
        # Guards against a stop that waits for established calls until SIGKILL, 0.7 s after the deadline.
        lane = {"name": "x", "aim": 500.0, "credit": 1.0, "hard_limit": 900.0}
        with Stage(settings={"lanes": [lane]}) as s:
            s.play(
                "c0 send INVITE 1 X-Patience=900\ne0 expect SET_UP {1}\ne0 send ANSWER 1 33=d\n"
                "c0 expect 200 OK"
            )
            started_at = time.monotonic()
            s.play("p send SIGTERM\np expect 0")
            assert time.monotonic() - started_at < 1.6

    def test_the_next_process_releases_the_calls_of_a_killed_one(self):
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
