"""Stand-in store on virtual time, called without sockets."""

from __future__ import annotations

import json
import urllib.parse

import eventlet

from almondspool.errors import PlatformError
from almondspool.platform.store import ObjectStoreClient
from almondspool.protocol.exchange import CallerRequest
from almondspool.standins.hosted_store import CONTROL_PATH


class VirtualStoreClient(ObjectStoreClient):
    """Calls the stand-in store of the same process, on virtual time."""

    def __init__(self, store, timers, ends_at=float("inf")):
        super().__init__("127.0.0.1:1", lambda verb, code: None)
        self.store = store
        self.timers = timers
        self.ends_at = ends_at

    def wait(self, pause_s):
        self.timers.advance(max(0.0, pause_s))
        if self.timers.now() >= self.ends_at:
            raise eventlet.greenlet.GreenletExit

    def _transfer(self, method, target, body, timeout_s):
        handle, answers = _call(self.store, method, target, body)
        given_up_at = self.timers.now() + timeout_s
        while not answers:
            self.wait(0.01)
            if self.timers.now() >= given_up_at:
                handle.cancel()
                raise PlatformError("no answer")
        headers = {name.lower(): value for name, value in answers[0].headers}
        return answers[0].status, headers, answers[0].body


def send_command(store, **values):
    """Apply a fault to the store."""
    _call(store, "POST", CONTROL_PATH, values)


def write_object(store, kind, name, spec):
    """Write an object as an upstream or the operator does."""
    path = f"/api/objects/{kind}"
    body = {"meta": {"name": name}, "spec": spec}
    target = f"{path}/{urllib.parse.quote(name)}"
    _, answers = _call(store, "PUT", target, body)
    if answers[0].status == 404:
        _call(store, "POST", path, body)


def remove_object(store, kind, name):
    """Remove an object."""
    _call(store, "DELETE", f"/api/objects/{kind}/{urllib.parse.quote(name)}", None)


def _call(store, method, target, body):
    content = b"" if body is None else json.dumps(body).encode()
    request = CallerRequest(method, target, "", (), content, "", None, 0.0)
    answers = []
    return store.handle(request, answers.append), answers
