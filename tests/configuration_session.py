"""Simulated instances with a configuration under virtual time, for golden sessions."""

from __future__ import annotations

import random

from returns.result import Success

from almondspool.coordination.configuration.acceptance import Acceptor
from almondspool.coordination.configuration.configuration import Configuration
from almondspool.coordination.configuration.configuration_actions import (
    AdoptDocument,
    ConfirmManifest,
    LogEvent,
    ReadSections,
    SendMessage,
)
from almondspool.coordination.configuration.manifest_confirmation import (
    read_current_manifest,
)
from almondspool.logs import format_event
from almondspool.protocol.manifest import MANIFEST_KIND, MANIFEST_NAME
from almondspool.protocol.peer import FetchObjects
from almondspool.state.members import Member, View
from almondspool.transport.timers import VirtualTimers
from tests.fakes import FakePlatform

ZONES = ("perth-north", "perth-south", "perth-hills")
LINK_DELAY_S = 0.004
TICK_S = 0.25


def section_text(team: str, number: int = 1, deadline_ms: int = 160) -> str:
    """Return a small valid section; ``number`` makes its port unique."""
    return f"""\
team: {team}
priority: urgent
deadline_ms: {deadline_ms}
services:
  {team}-01:
    upstreams:
      {team}-01-a: {{address: "127.0.0.1:{7300 + number}", zone: perth-north, \
slots: 2, connections: 25}}
snapshots:
  - id: 1
    shards:
      - {{id: {team}-01/0, service: {team}-01, replicas: [{team}-01-a]}}
"""


class Instance:
    """An instance with its configuration, whose actions are executed immediately."""

    def __init__(self, session, name: str):
        self.name = name
        self.session = session
        self.configuration = self.make_configuration()
        self.generations = []
        self.is_partitioned = False
        self.acceptor = self.make_acceptor()

    def make_configuration(self):
        rng = random.Random(self.name)
        return Configuration(self.name, rng, self.session.timers.now())

    def make_acceptor(self):
        return Acceptor(
            self.session.platform,
            self.configuration,
            random.Random(self.name),
            self.session.advance,
            lambda accepted: self.handle("on_accepted", *accepted, self.now()),
        )

    def restart(self):
        self.session.log(f"{self.name} restarts")
        self.generations = []
        self.configuration = self.make_configuration()
        self.acceptor = self.make_acceptor()

    def now(self):
        return self.session.timers.now()

    def handle(self, method: str, *args):
        """Call a method of the configuration and execute the actions it returns."""
        for action in getattr(self.configuration, method)(*args):
            self.execute(action)

    def execute(self, action):
        match action:
            case SendMessage(instance, message):
                self.session.send(self.name, instance, message)
            case ReadSections(kind, names):
                for name in names:
                    self.read(kind, name)
            case ConfirmManifest():
                self.confirm()
            case AdoptDocument(document):
                self.generations.append(document.generation)
            case LogEvent(event, fields):
                self.session.log(f"{self.name} {format_event(event, **fields)}")

    def confirm(self):
        result = read_current_manifest(self.session.platform)
        if isinstance(result, Success):
            self.handle("on_manifest_confirmed", result.unwrap(), self.now())
        else:
            reason = str(result.failure())
            self.handle("on_manifest_unconfirmed", reason, self.now())

    def read(self, kind: str, name: str):
        result = self.session.platform.get(kind, name)
        if isinstance(result, Success):
            value = result.unwrap().value
            self.handle("on_platform_section", name, value, self.now())
        else:
            self.handle("on_section_read_failed", (name,), self.now())

    def poll(self):
        result = self.session.platform.get(MANIFEST_KIND, MANIFEST_NAME)
        if isinstance(result, Success):
            self.handle("on_platform_manifest", result.unwrap().value, self.now())
        else:
            self.session.log(f"{self.name} poll failed: {result.failure()}")

    def receive(self, sender: str, message):
        if isinstance(message, FetchObjects):
            self.handle("on_peer_fetch", sender, message)
        else:
            self.handle("on_peer_objects", sender, message, self.now())

    def accept(self, text: str, base: str = "", token: str = "token"):
        team = text.split()[1]
        acceptance = self.acceptor.accept(team, text.encode(), base, token)
        self.session.log(
            f"{self.name} answers its operator: {acceptance.code.name}"
            f" after {acceptance.attempts} attempts: {acceptance.message}"
        )
        return acceptance


class ConfigurationSession:
    """Simulated instances, their links and the platform under one virtual clock.

    Attributes:
        lines: The log of the session, to compare with its golden file.
        sent: Every message that an instance sent to another one it could reach.
    """

    def __init__(self, count: int = 3):
        self.timers = VirtualTimers()
        self.platform = FakePlatform()
        self.lines = []
        self.sent = []
        self.instances = [Instance(self, f"perth-{n}") for n in range(1, count + 1)]
        self.by_name = {instance.name: instance for instance in self.instances}
        self.timers.subscribe(TICK_S, self.tick)
        self.distribute_views()

    def log(self, text: str):
        self.lines.append(f"{self.timers.now():7.3f} {text}")

    def advance(self, seconds: float):
        self.timers.advance(seconds)

    def tick(self):
        self.distribute_views()
        for instance in self.instances:
            # The daemon calls is_ready() several times a second.
            instance.configuration.is_ready(instance.now())
            instance.handle("on_tick", instance.now())

    def distribute_views(self):
        """Update each instance's view to the generations of those it can reach."""
        members = [
            Member(
                instance.name,
                1,
                ZONES[index % len(ZONES)],
                "",
                "",
                generation=instance.configuration.document.generation,
            )
            for index, instance in enumerate(self.instances)
        ]
        reachable = {
            member.instance: member
            for member in members
            if not self.is_partitioned(member.instance)
        }
        own = {member.instance: {member.instance: member} for member in members}
        for instance in self.instances:
            view = View(own[instance.name] if instance.is_partitioned else reachable)
            instance.handle("on_view", view, instance.now())

    def is_partitioned(self, name: str):
        return name not in self.by_name or self.by_name[name].is_partitioned

    def send(self, sender: str, receiver: str, message):
        if self.is_partitioned(sender) or self.is_partitioned(receiver):
            return
        self.sent.append(message)
        message_type = type(message).__name__
        kind = getattr(message, "kind", "") or message.objects[0].kind
        self.log(f"{sender} -> {receiver} {message_type} {kind}")
        receive = self.by_name[receiver].receive
        self.timers.call_later(LINK_DELAY_S, lambda: receive(sender, message))

    def log_generations(self):
        pairs = [
            f"{instance.name}={instance.configuration.document.generation}"
            for instance in self.instances
        ]
        self.log("in force: " + " ".join(pairs))
