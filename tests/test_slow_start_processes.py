"""The stand-in engine that starts cold: what pushes it over, and what does not."""

from twisted.internet.task import Clock

from softswitch.net.engine_codec import MessageType, Parameter
from softswitch.standin.addresses import own_host
from softswitch.standin.engine import Engine, EngineSettings


class Port:
    def stopListening(self):
        pass


class Room(Clock):
    """Time, timers and sockets that nobody comes to."""

    def listenTCP(self, port, factory, interface, backlog):
        made = Port()
        made.getHost = lambda: type("Host", (), {"port": 4_000})()
        return made


class Line:
    def __init__(self):
        self.said = []
        self.transport = type("Transport", (), {"abortConnection": lambda me: None, "connected": True})()

    def say(self, kind, call, *parameters):
        self.said.append((kind, call))


def made(**more):
    clock, born = Room(), []
    engine = Engine(clock, EngineSettings("s-00000001", 0, bears=20.0, cold=6.0, **more), 1)
    engine.on_born = lambda e: born.append(clock.seconds())
    engine.listen(own_host())
    return clock, engine, born


def offer(clock, engine, rate, seconds):
    """So many set-ups a second; until it falls."""
    line = Line()
    for n in range(round(rate * seconds)):
        if engine.count["fell"]:
            return
        engine.heard(line, MessageType.SETUP, f"{n:016x}", {Parameter.CALL_CLASS: b"x"})
        clock.advance(1 / rate)


def test_a_cold_engine_falls_at_too_much_and_is_started_again_cold():
    clock, engine, born = made()
    engine.restart()
    offer(clock, engine, 60.0, 2.0)  # it bears 3 x 20 x 0.3 a second at first, and the root of that besides
    assert engine.count["fell"] == 1
    assert engine.port is None
    assert born == [0.0]
    clock.advance(engine.set.down_for)
    assert engine.port is not None
    assert len(born) == 2
    assert engine.warmth() < 0.31


def test_it_bears_what_it_may_get_and_more_as_it_warms():
    clock, engine, _ = made()
    engine.restart()
    offer(clock, engine, 17.0, 3.0)
    assert engine.count["fell"] == 0
    assert 0.5 < engine.warmth() < 0.6
    assert 60 < engine.count["most of what a cold engine bears, %"] < 110
    clock.advance(3.5)
    assert engine.warmth() == 1.0
    offer(clock, engine, 200.0, 1.0)
    assert engine.count["fell"] == 0


def test_an_engine_that_was_not_started_anew_is_warm():
    clock, engine, _ = made()
    offer(clock, engine, 200.0, 1.0)
    assert engine.count["fell"] == 0
    assert engine.warmth() == 1.0
