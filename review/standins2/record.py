"""The record of a run: what was sent, answered and run, with times."""

import time


class Record:
    """Events of one run, in the order in which they happened."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        """Return the seconds since the begin of the run."""
        return time.monotonic() - self.began

    def add(self, what, **fields):
        """Add an event and return its time."""
        now = self.now()
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{now:9.4f} {what:<24} {rest}".rstrip())
        return now

    def write(self, path):
        """Write all events to a file."""
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")
