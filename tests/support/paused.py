"""Pauses a softswitch process, so that many events precede its next turn."""

import signal
import time


class Paused:
    """Pauses the program of a stage within the block: all events of the block precede its resumption."""

    def __init__(self, stage):
        self.program = stage.program

    def __enter__(self):
        self.program.send_signal(signal.SIGSTOP)
        while open(f"/proc/{self.program.pid}/stat").read().split(")")[1].split()[0] != "T":
            time.sleep(0.001)

    def __exit__(self, *_):
        self.program.send_signal(signal.SIGCONT)
