"""An id that was sent to an engine is not set up again after its call has ended."""

import pytest
from support.harness import Stage
from support.sip_bench import SipBench, invite
from support.switch_bench import A, Bench
from test_replacement import ReplacementStage

from softswitch.core.call import FailureReason
from softswitch.core.recent_calls import MAX_RETAINED, RETAINED_FOR, RecentCalls

ONE = f"{1:016x}"
SENT = "c0 send INVITE 1\ne0 expect SET_UP {1}\n"
ENDS = {
    "its caller cancels": SENT + "c0 send CANCEL 1\nc0 expect 200 .*CANCEL\n",
    "its caller leaves": SENT + "c0 close\ne0 expect RELEASE {1} 31=16\n",
    "its caller releases it": SENT
    + "e0 send ANSWER 1 33=d\nc0 expect 200\nc0 send BYE 1\nc0 expect 200 .*BYE\n",
    "its engine releases it": SENT
    + "e0 send ANSWER 1 33=d\nc0 expect 200\ne0 send RELEASE 1 31=16\nc0 expect BYE\n",
    "it fails": SENT + "e0 send RELEASE 1 31=47\nc0 expect 50\n",
}


@pytest.mark.parametrize("end", ENDS)
def test_an_id_that_comes_again_after_its_call_has_ended_is_not_sent_again(end):
    """Guards against a call that runs twice, as its id comes again after its client has left."""
    with Stage(engines=1) as s:
        s.play(ENDS[end] + "e0 wait 400\nc1 send INVITE 1\nc1 expect SIP/2.0 482\ne0 wait 100")
        assert sum(m.startswith("SET_UP") for m in s.party("e0").received) == 0


def test_a_websocket_cannot_set_up_the_id_of_an_ended_call():
    """Guards against a call that runs twice, as its id comes again on another front."""
    with Stage(engines=1) as s:
        s.play(
            ENDS["its caller leaves"] + 'w0 send place 1\nw0 expect setting_up\nw0 expect "code":"repeated"'
        )


def test_an_id_of_which_nothing_was_sent_may_come_again():
    b = Bench(servers=())
    for _ in range(2):
        assert b.call(timeout=60.0) is None
        b.run(200.0)
        assert not b.switch.calls


def test_a_setup_that_crosses_the_close_of_its_connection_may_come_again_on_a_new_one():
    b = SipBench()
    closed, new = b.connect(), b.connect()
    b.sip.close(closed)
    b.receive(closed, invite(1))
    assert not b.records_of("send_setup")
    b.receive(new, invite(1))
    assert len(b.records_of("send_setup")) == 1


def test_an_id_may_come_again_after_its_time():
    b = Bench()
    b.call()
    b.switch.answered_by_engine(A, ONE, b"d")
    b.switch.released_by_engine(A, ONE, 16)
    b.run(RETAINED_FOR - 10.0)
    assert b.call() is FailureReason.DUPLICATE
    b.run(20.0)
    assert b.call() is None


def test_ids_are_retained_up_to_a_maximum_the_latest_first():
    calls = RecentCalls()
    for n in range(MAX_RETAINED + 2):
        calls.add(0.0, f"{n % (MAX_RETAINED + 1):016x}")  # the first one ends again
    assert len(calls) == MAX_RETAINED
    assert calls.has(0.0, f"{0:016x}")
    assert not calls.has(0.0, f"{1:016x}")


def test_a_call_that_ended_at_the_predecessor_is_not_set_up_by_the_successor():
    """Guards against a call that runs twice, as its id comes again at the other process of an upgrade."""
    with ReplacementStage(engines=1) as s:
        s.play(SENT + "c0 send CANCEL 1\nc0 expect 200 .*CANCEL\ne0 expect RELEASE {1}")
        s.play("c2 send INVITE 2\ne0 expect SET_UP {2}")
        s.complete_replacement()
        s.play("c2 close\ne1 expect RELEASE {2} 31=16")
        s.play("c1 send INVITE 1\nc1 expect SIP/2.0 482\nc1 send INVITE 2\nc1 expect SIP/2.0 482")
        s.play("c1 send INVITE 3\ne0 expect SET_UP {3}")


class RemovalObserver:
    """Records the calls that are removed from the table."""

    def __init__(self):
        self.removed = []

    def call_added(self, call):
        """Records nothing."""

    def call_removed(self, call, written):
        self.removed.append((call, written))


def test_the_other_process_is_told_whether_a_call_was_sent():
    b = SipBench()
    b.switch.calls.observer = observer = RemovalObserver()
    connection = b.connect()
    b.receive(connection, invite(1, timeout=60))
    b.switch.answered_by_engine(A, ONE, b"d")
    b.switch.released_by_engine(A, ONE, 16)
    assert observer.removed == [(ONE, True)]
