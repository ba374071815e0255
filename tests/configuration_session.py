"""Instances that run a configuration under virtual time, for golden sessions."""

from __future__ import annotations

import random

from returns.result import Success

from almondspool.coordination.configuration.acceptance import Acceptor
from almondspool.coordination.configuration.configuration import Configuration
from almondspool.coordination.configuration.configuration_actions import (
    AdoptDocument,
    ConfirmManifest,
    LogEvent,
    ReadPlatform,
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
    """Return a small valid section; ``number`` keeps ids and ports apart."""
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
    """One instance: its configuration, and the actions carried out at once."""

    def __init__(self, session, name: str):
        self.name = name
        self.session = session
        self.configuration = self.make_configuration()
        self.generations = []
        self.is_cut = False
        self.acceptor = self.make_acceptor()

    def make_configuration(self):
        rng = random.Random(self.name)
        return Configuration(self.name, rng, self.session.timers.now())

    def make_acceptor(self):
        return Acceptor(
            self.session.platform,
            self.configuration,
            random.Random(self.name),
            self.session.pause,
            lambda accepted: self.run("on_accepted", *accepted, self.now()),
        )

    def restart(self):
        self.session.note(f"{self.name} restarts")
        self.generations = []
        self.configuration = self.make_configuration()
        self.acceptor = self.make_acceptor()

    def now(self):
        return self.session.timers.now()

    def run(self, method: str, *args):
        for action in getattr(self.configuration, method)(*args):
            self.carry_out(action)

    def carry_out(self, action):
        match action:
            case SendMessage(instance, message):
                self.session.send(self.name, instance, message)
            case ReadPlatform(kind, names):
                for name in names:
                    self.read(kind, name)
            case ConfirmManifest():
                self.confirm()
            case AdoptDocument(document):
                self.generations.append(document.generation)
            case LogEvent(event, fields):
                self.session.note(f"{self.name} {format_event(event, **fields)}")

    def confirm(self):
        result = read_current_manifest(self.session.platform)
        if isinstance(result, Success):
            self.run("on_manifest_confirmed", result.unwrap(), self.now())
        else:
            reason = str(result.failure())
            self.run("on_manifest_unconfirmed", reason, self.now())

    def read(self, kind: str, name: str):
        result = self.session.platform.get(kind, name)
        if isinstance(result, Success):
            value = result.unwrap().value
            self.run("on_platform_section", name, value, self.now())
        else:
            self.run("on_platform_failed", (name,), self.now())

    def poll(self):
        result = self.session.platform.get(MANIFEST_KIND, MANIFEST_NAME)
        if isinstance(result, Success):
            self.run("on_platform_manifest", result.unwrap().value, self.now())
        else:
            self.session.note(f"{self.name} poll failed: {result.failure()}")

    def receive(self, sender: str, message):
        if isinstance(message, FetchObjects):
            self.run("on_peer_fetch", sender, message)
        else:
            self.run("on_peer_objects", sender, message, self.now())

    def accept(self, text: str, base: str = "", token: str = "token"):
        team = text.split()[1]
        acceptance = self.acceptor.accept(team, text.encode(), base, token)
        self.session.note(
            f"{self.name} answers its operator: {acceptance.code.name}"
            f" after {acceptance.attempts} attempts: {acceptance.message}"
        )
        return acceptance


class ConfigurationSession:
    """Instances, links and the platform under one virtual clock."""

    def __init__(self, count: int = 3):
        self.timers = VirtualTimers()
        self.platform = FakePlatform()
        self.lines = []
        self.sent = []
        self.instances = [Instance(self, f"perth-{n}") for n in range(1, count + 1)]
        self.by_name = {each.name: each for each in self.instances}
        self.timers.subscribe(TICK_S, self.tick)
        self.share_views()

    def note(self, text: str):
        self.lines.append(f"{self.timers.now():7.3f} {text}")

    def pause(self, seconds: float):
        self.timers.advance(seconds)

    def tick(self):
        self.share_views()
        for each in self.instances:
            # The daemon asks several times a second.
            each.configuration.is_ready(each.now())
            each.run("on_tick", each.now())

    def share_views(self):
        """Tell each instance the generations of those it can reach."""
        members = [
            Member(
                each.name,
                1,
                ZONES[index % len(ZONES)],
                "",
                "",
                generation=each.configuration.document.generation,
            )
            for index, each in enumerate(self.instances)
        ]
        reachable = {m.instance: m for m in members if not self.is_cut(m.instance)}
        own = {member.instance: {member.instance: member} for member in members}
        for each in self.instances:
            view = View(own[each.name] if each.is_cut else reachable)
            each.run("on_view", view, each.now())

    def is_cut(self, name: str):
        return name not in self.by_name or self.by_name[name].is_cut

    def send(self, sender: str, receiver: str, message):
        if self.is_cut(sender) or self.is_cut(receiver):
            return
        self.sent.append(message)
        kinds = type(message).__name__
        what = getattr(message, "kind", "") or message.objects[0].kind
        self.note(f"{sender} -> {receiver} {kinds} {what}")
        receive = self.by_name[receiver].receive
        self.timers.call_later(LINK_DELAY_S, lambda: receive(sender, message))

    def note_generations(self):
        pairs = [
            f"{each.name}={each.configuration.document.generation}"
            for each in self.instances
        ]
        self.note("in force: " + " ".join(pairs))
