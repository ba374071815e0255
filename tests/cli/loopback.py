"""In-process connection of the command-line client to simulated instances."""

from __future__ import annotations

import io
import types
import urllib.parse
from math import inf
from typing import TYPE_CHECKING

import urllib3

from almondspool.coordination.configuration.document_answers import (
    apply_section,
    describe_document,
    describe_section,
)
from almondspool.coordination.fleet.fleet_answers import describe_fleet
from almondspool.errors import RequestError
from almondspool.protocol.fleet import (
    FleetRow,
    FleetStatus,
    InstanceSummary,
    Lease,
    QueueSummary,
)
from almondspool.protocol.operator import OperatorInterface, OperatorRoutes
from almondspool.transport.http_server import HttpResponse, HttpServer

if TYPE_CHECKING:
    from tests.configuration_session import ConfigurationSession


class SessionOperator(OperatorInterface):
    """Operator interface of one simulated instance."""

    def __init__(self, instance):
        self._instance = instance
        self._session = instance.session

    def document(self):
        return describe_document(self._instance.configuration)

    def section(self, team):
        return describe_section(self._instance.configuration, team)

    def apply(self, team, text, base, token):
        return apply_section(self._instance.acceptor, team, text, base, token)

    def status(self):
        rows = [
            {
                "instance": instance.name,
                "zone": "perth-north",
                "status": "alive",
                "generation": instance.configuration.document.generation,
                "caller_address": f"{instance.name}:7100",
            }
            for instance in self._session.instances
        ]
        return {
            "instance": self._instance.name,
            "zone": "perth-north",
            "generation": self._instance.configuration.document.generation,
            "is_ready": True,
            "is_leaving": False,
            "members": rows,
            "backlog": [],
            "platform_calls": dict(self._session.platform.calls),
            "refusals": dict(self._instance.configuration.refusals.counts),
        }

    def fleet(self):
        summary = InstanceSummary(
            "perth-2",
            1,
            "perth-north",
            3,
            0.25,
            True,
            False,
            (QueueSummary("alert-desk", "alert-desk-01", 4, 0.5, 9.0, 3.0, inf, True),),
        )
        rows = {"perth-2": FleetRow(summary, 8_000)}
        return describe_fleet(
            10_000, FleetStatus(Lease("perth-1", 1, 4, 0), 9_000, rows)
        )

    def explain(self, team, shard):
        if shard == "none":
            raise RequestError("no shard 'none'")
        candidate = {"upstream": "a", "zone": "z", "score_ms": 1.25, "state": "serving"}
        return {
            "team": team,
            "shard": shard,
            "snapshot": 1,
            "upstream": "a",
            "reason": "lowest score",
            "candidates": [candidate],
        }


class LoopbackPool:
    """Replacement for the client's connection pool that opens no socket.

    Attributes:
        unreachable_instances: Names of the instances whose connections are refused.
        after_apply: Called after each write of a section.
        silent_instances: Names of the instances that run a request but send no reply,
            except to a GET.
        search_requests: Bodies of the search requests received by any instance.
    """

    def __init__(self, session: ConfigurationSession, search_answer=b"{}"):
        self.unreachable_instances = set()
        self.silent_instances = set()
        self.after_apply = lambda: None
        self.search_requests = []
        self._servers_by_name = {}
        self._search_answer = search_answer
        for instance in session.instances:
            server = HttpServer(1_000_000)
            OperatorRoutes(SessionOperator(instance)).add_to(server)
            server.add_route("POST", "/v1/search", self._search)
            server.add_route("GET", "/v1/entries", self._entries)
            self._servers_by_name[instance.name] = server

    def request(self, method, url, body=None, timeout=None):
        url_parts = urllib.parse.urlsplit(url)
        if url_parts.hostname in self.unreachable_instances:
            raise OSError("connection refused")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": urllib.parse.unquote(url_parts.path),
            "QUERY_STRING": url_parts.query,
            "wsgi.input": io.BytesIO(body or b""),
        }
        response = self._servers_by_name[url_parts.hostname]._respond(environ)
        if method == "PUT":
            self.after_apply()
        if method != "GET" and url_parts.hostname in self.silent_instances:
            raise urllib3.exceptions.ProtocolError("connection reset by peer")
        return types.SimpleNamespace(data=response.body, status=response.status)

    def _search(self, request):
        self.search_requests.append(request.body)
        return HttpResponse(200, self._search_answer)

    def _entries(self, request):
        body = b'{"ttl_ms": 5000, "entries": [{"instance": "perth-1",'
        body += b' "address": "127.0.0.1:7100", "zone": "perth-north"}]}'
        return HttpResponse(200, body)
