"""Events of the endpoint watch as scenario lines, with entries that a test makes up."""

import socket
import struct

CHANGES, COMPLETE = 2, 1  # event types
READY, DRAINING, GONE = 0, 1, 2  # states of an entry


def endpoint_record(stage, engine_id, listener_name, state, cell, born_ms=0):
    """Returns an entry of the endpoint list, in hex: an engine id at the address of a stage's listener."""
    port = stage.listeners[listener_name].getsockname()[1]
    address = socket.inet_aton(stage.host)
    return struct.pack(">I4sHBBBHIQ", engine_id, address, port, state, 0, 0, cell, 1000, born_ms).hex()


def list_event(event_type, revision, *records):
    """Returns the scenario line that sends an event with these entries."""
    body = struct.pack(">QB", revision, event_type).hex() + "".join(records)
    return f"b send raw - {len(body) // 2:08x}{body}\n"


def list_changes(revision, *records):
    """Returns the scenario line that sends an event with these changed entries of the endpoint list."""
    return list_event(CHANGES, revision, *records)


def complete_list(revision, *records):
    """Returns the scenario line that sends the complete endpoint list."""
    return list_event(COMPLETE, revision, *records)
