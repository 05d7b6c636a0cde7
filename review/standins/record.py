"""What a test has seen, in the order of time."""

import json
import pathlib
import time


class Record:
    """Events of one run, written to a file at its end."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.start = time.monotonic()
        self.events: list[dict] = []

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def since_start(self, at: float) -> float:
        return round(at - self.start, 4)

    def event(self, what: str, **fields: object) -> None:
        at = self.since_start(self.now())
        self.events.append({"at": at, "what": what, **fields})

    def all(self, what: str) -> list[dict]:
        return [each for each in self.events if each["what"] == what]

    def save(self) -> None:
        lines = [json.dumps(each, default=str) for each in self.events]
        self.path.write_text("\n".join(lines) + "\n")
