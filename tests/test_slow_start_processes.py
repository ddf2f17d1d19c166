"""The stand-in engine that warms up after its start: which load overloads it, and which does not."""

from twisted.internet.task import Clock

from softswitch.net.engine_codec import MessageType, Parameter
from softswitch.standin.addresses import own_host
from softswitch.standin.engine import Engine, EngineSettings


class FakePort:
    def stopListening(self):
        pass


class FakeReactor(Clock):
    """A clock with timers, and listening sockets to which nobody connects."""

    def listenTCP(self, port, factory, interface, backlog):
        fake_port = FakePort()
        fake_port.getHost = lambda: type("Host", (), {"port": 4_000})()
        return fake_port


class FakeConnection:
    def __init__(self):
        self.sent = []
        self.transport = type("Transport", (), {"abortConnection": lambda me: None, "connected": True})()

    def send(self, message_type, call, *parameters):
        self.sent.append((message_type, call))


def listening_engine(**more):
    """A clock, an engine and the list of its start times."""
    clock, started_at = FakeReactor(), []
    engine = Engine(clock, EngineSettings("s-00000001", 0, warm_capacity=20.0, warm_up=6.0, **more), 1)
    engine.on_started = lambda e: started_at.append(clock.seconds())
    engine.listen(own_host())
    return clock, engine, started_at


def send_setups(clock, engine, rate, seconds):
    """Sends call setups at this rate until the engine fails."""
    connection = FakeConnection()
    for n in range(round(rate * seconds)):
        if engine.count["fell"]:
            return
        engine.message_received(connection, MessageType.SETUP, f"{n:016x}", {Parameter.CALL_CLASS: b"x"})
        clock.advance(1 / rate)


def test_a_warming_engine_fails_under_overload_and_warms_up_again_after_its_restart():
    clock, engine, started_at = listening_engine()
    engine.restart()
    # At first the engine withstands 3 x 20 x 0.3 setups a second, plus an allowance for their random
    # variation, which is the square root of their number.
    send_setups(clock, engine, 60.0, 2.0)
    assert engine.count["fell"] == 1
    assert engine.port is None
    assert started_at == [0.0]
    clock.advance(engine.settings.restart_delay)
    assert engine.port is not None
    assert len(started_at) == 2
    assert engine.capacity_fraction() < 0.31


def test_a_warming_engine_withstands_its_permitted_load_and_more_as_it_warms_up():
    clock, engine, _ = listening_engine()
    engine.restart()
    send_setups(clock, engine, 17.0, 3.0)
    assert engine.count["fell"] == 0
    assert 0.5 < engine.capacity_fraction() < 0.6
    assert 60 < engine.count["most of what a cold engine bears, %"] < 110
    clock.advance(3.5)
    assert engine.capacity_fraction() == 1.0
    send_setups(clock, engine, 200.0, 1.0)
    assert engine.count["fell"] == 0


def test_an_engine_that_was_not_restarted_is_warm():
    clock, engine, _ = listening_engine()
    send_setups(clock, engine, 200.0, 1.0)
    assert engine.count["fell"] == 0
    assert engine.capacity_fraction() == 1.0
