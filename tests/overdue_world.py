"""A host with servers and callers in virtual time, for overdue requests.

The host has flows to a server that fails and opens no other one to it, as
most of 80 hosts do.
"""

from tests import flow_factories
from tests import test_load_patterns
from vanilladrum.core.overdue import monitor as monitors
from vanilladrum.daemons import health_checks

TARGET = 0.6
STEP = 0.01
CHECK_SECONDS = health_checks.CHECK_TIMEOUT
# Limit from the death of a server to the resets at a target of 0.6 s.
LIMIT = 1.5


class World:
    """A host, its servers and callers in virtual time.

    :param reachable: whether the host reaches servers.
    :param dead: tags of the servers whose hosts do not respond.
    :param replaced: tags of the servers whose addresses others have taken.
    :param callers: callers with an open flow to the server that fails.
    :param checks: start of each health check, by server tag.
    :param resets: time and action of each reset.
    :param input_read: whether the host reads its socket before it ticks.
    :param paused: whether the host's process is suspended.
    """

    def __init__(self, target=TARGET, timeout=4.8, repeatable=True, flows=1):
        self.server, *self.others = [
            flow_factories.make_server(number) for number in (1, 2, 3)
        ]
        self.host = flow_factories.make_host([self.server])
        self.host.configuration.health_paths["bookings"] = "/health"
        route = self.host.configuration.routes[flow_factories.BOOKINGS.pack()]
        route.target_latency = target
        route.timeout = timeout
        route.repeatable = repeatable
        self.now = 0.0
        self.next_tick = 0.0
        self.reachable = True
        self.dead = set()
        self.replaced = set()
        self.checks = {}
        self.running = {}
        self.resets = []
        self.events = []
        self.input_read = True
        self.paused = False
        self.answer_interval = 0.1
        self.tick()
        self.callers = [
            test_load_patterns.Caller(self.host, 1000 + number)
            for number in range(flows)
        ]
        for caller in self.callers:
            caller.request(0.0)
            caller.acknowledge(0.0)
        self.caller = self.callers[0]
        for server in self.others:
            self.host.directory.update(server)
        self.other_caller = test_load_patterns.Caller(self.host, 2000)
        self.other_caller.request(0.0)
        self.other_caller.acknowledge(0.0)
        assert self.other_caller.server in self.others

    def tick(self):
        host = self.host
        host.tick(self.now, self.input_read)
        self.resets += [(self.now, each) for each in host.take_actions()]
        self.events += host.overdue.take_events()
        for server in host.due_checks(self.now):
            self.start_check(server)
        self.next_tick = max(host.next_tick_at(self.now), self.now + STEP)

    def start_check(self, server):
        """Start a check, as the daemon's HealthChecker does."""
        if server.tag in self.running:
            return
        unreached = server.tag in self.dead or not self.reachable
        seconds = CHECK_SECONDS if unreached else 3 * STEP
        self.running[server.tag] = (server, self.now + seconds, not unreached)
        self.checks.setdefault(server.tag, []).append(self.now)
        self.host.overdue.begin_check(server, self.now)

    def run(self, until):
        """Let time pass; another server answers now and then."""
        while self.now < until:
            self.now = round(self.now + STEP, 6)
            if self.paused:
                continue
            if (
                self.reachable
                and round(self.now / STEP) % round(self.answer_interval / STEP)
                == 0
            ):
                self.other_caller.request(self.now - 0.02)
                self.other_caller.acknowledge(self.now)
            # As in the event loop, what is due first runs first.
            due = [(end, tag) for tag, (_, end, _) in self.running.items()]
            due.append((self.next_tick, None))
            for when, tag in sorted(due, key=lambda each: each[0]):
                if when > self.now:
                    break
                if tag is None:
                    self.tick()
                else:
                    self.end_check(*self.running.pop(tag))
            if self.next_tick <= self.now:
                self.tick()

    def end_check(self, server, _, reached):
        """Report the result of a check, as the daemon does."""
        detector = self.host.failure_detector
        if reached and server.tag in self.replaced:
            detector.record_replaced(server, self.now)
        else:
            detector.record_check(server, reached, self.now, reached)
        self.next_tick = min(self.next_tick, self.host.next_tick_at(self.now))

    def request(self):
        """Send a request to the server that fails; it is not answered."""
        self.caller.request(self.now)

    @property
    def dead_events(self):
        return [
            each
            for each in self.events
            if isinstance(each, monitors.ServerPresumedDead)
        ]
