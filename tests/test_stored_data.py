"""Files written by commit 020d907, under data/, are still readable: a fleet snapshot and a traffic record."""

import msgspec
from support.harness import ROOT

from softswitch.measure.recordfile import read
from softswitch.measure.streams import aggregate_streams
from softswitch.net.peers import SNAPSHOT_TYPE, SNAPSHOT_VERSION, SavedState
from softswitch.storage.snapshot import Snapshot

DATA = ROOT / "tests" / "data"


def test_a_stored_fleet_snapshot_is_readable():
    version, record = Snapshot(DATA / "fleet-020d907.snapshot", SNAPSHOT_TYPE, SNAPSHOT_VERSION).read()
    assert version == SNAPSHOT_VERSION
    saved = msgspec.msgpack.decode(record, type=SavedState)
    assert saved == SavedState("tana", "n0@10.1.0.4:7946", 7, ("10.2.0.4:7946", "10.3.0.4:7946"))


def test_a_stored_traffic_record_is_readable():
    contents = read(DATA / "traffic-020d907.whtr")
    assert contents.stop_reason == ""
    assert [head["name"] for head in contents.heads] == ["n0"]
    assert len(contents.entries) == 3
    traffic = aggregate_streams([contents])
    assert traffic.seconds == 30.0
    assert traffic.erlangs == {0: [3.67, 6.67, 6.67], 1: [3.33, 6.67, 6.67], 2: [3.0, 6.66, 6.66]}
    assert traffic.peaks == {0: 6, 1: 6, 2: 6}
    rows = [(s.dest, s.call_class, s.redials, s.carried, s.blocked, s.ended) for s in traffic.streams]
    assert rows == [
        (0, "x", 12, 15, 14, 29),
        (0, "y", 3, 4, 4, 7),
        (1, "x", 11, 15, 15, 29),
        (1, "y", 3, 4, 3, 7),
        (2, "x", 11, 15, 15, 29),
        (2, "y", 3, 3, 4, 7),
    ]


def test_the_digest_of_settings_has_not_changed_since_020d907():
    # softswitches of two versions with the same settings must report the same digest
    from support.settings import INFO

    from softswitch.components import settings_digest
    from softswitch.settings import parse_settings

    assert settings_digest(parse_settings(INFO)) == "7acfbfd04123"
