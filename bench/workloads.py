"""Workloads: the classes of requests that callers send to each deployment."""

from __future__ import annotations

import itertools
from typing import NamedTuple

from bench.traffic import RequestClass

URGENT_CALLER = "bench-urgent"
NORMAL_CALLER = "bench-normal"
BACKGROUND_CALLER = "bench-background"
PRIORITY_BY_CALLER = {
    URGENT_CALLER: "urgent",
    NORMAL_CALLER: "normal",
    BACKGROUND_CALLER: "background",
}
OVERLOAD_DEADLINE_MS = 400

_SUBURBS = ("Bassendean", "Bayswater", "Fremantle", "Maylands", "Rockingham", "Subiaco")
_STREETS = ("Banksia Street", "Jarrah Lane", "Marri Way", "Swan View", "Tuart Avenue")
_MODELS = ("float-1", "float-2", "probe-3", "radar-4")
_SHELTERS = ("Austin South", "Bastrop", "Laredo", "Temple", "Waco Brazos")
_BREEDS = ("abyssinian", "american", "peruvian", "silkie", "teddy")
_STATUSES = ("waiting", "on hold", "vet visit")


def _make_query_product(**values_by_field: tuple[str, ...]) -> list[dict[str, str]]:
    fields = tuple(values_by_field)
    rows = itertools.product(*values_by_field.values())
    return [dict(zip(fields, row, strict=True)) for row in rows]


SUMP_ALARM_QUERIES = _make_query_product(
    suburb=_SUBURBS, street=_STREETS, model=_MODELS
)
GUINEA_PIG_QUERIES = _make_query_product(
    shelter=_SHELTERS, breed=_BREEDS, sex=("boar", "sow"), status=_STATUSES
)


class Workload(NamedTuple):
    """Requests that are sent to one deployment.

    Attributes:
        deployment: Name of the deployment.
        classes: Classes of the requests of every case except the overload cases.
        overload_team: Team whose shards are all searched by the requests of the
            capacity search, the half load and the overload.
        overload_queries: Queries of those requests.
        crash_query: Query that crashes a searcher while the crash fault is set; empty
            if the deployment is not used for that case.
    """

    deployment: str
    classes: list[RequestClass]
    overload_team: str
    overload_queries: list[dict[str, str]]
    crash_query: dict[str, str]


PERTH = Workload(
    "perth",
    [
        RequestClass("flood sweep", "alert-desk", "flood-desk", 3, SUMP_ALARM_QUERIES),
        RequestClass(
            "doorstep check",
            "alert-desk",
            "technician",
            3,
            SUMP_ALARM_QUERIES,
            services=["alert-desk-04"],
        ),
        RequestClass("insurer", "insurer-portal", "insurer", 1, SUMP_ALARM_QUERIES),
        RequestClass("member", "member-records", "member", 2, SUMP_ALARM_QUERIES),
        RequestClass("audit", "council-audit", "inspector", 1, SUMP_ALARM_QUERIES),
    ],
    "alert-desk",
    SUMP_ALARM_QUERIES,
    {"suburb": "Crash Corner"},
)
TX_CENTRAL = Workload(
    "tx-central",
    [
        RequestClass("adopter match", "match-portal", "adopter", 3, GUINEA_PIG_QUERIES),
        RequestClass(
            "vet slot",
            "vet-scheduler",
            "vet",
            3,
            GUINEA_PIG_QUERIES,
            services=["vet-scheduler-07"],
        ),
        RequestClass("vet sweep", "vet-scheduler", "vet", 1, GUINEA_PIG_QUERIES),
        RequestClass("intake", "shelter-desk", "staff", 2, GUINEA_PIG_QUERIES),
        RequestClass("donor", "donor-ledger", "office", 1, GUINEA_PIG_QUERIES),
    ],
    "match-portal",
    GUINEA_PIG_QUERIES,
    {"shelter": "Crash Corner"},
)
WIDE = Workload(
    "wide",
    [RequestClass("wide sweep", "alert-desk", "flood-desk", 1, SUMP_ALARM_QUERIES)],
    "alert-desk",
    SUMP_ALARM_QUERIES,
    {},
)


def make_overload_classes(workload: Workload) -> list[RequestClass]:
    """Return the classes of the overload cases, one for each priority.

    They differ in caller, which determines the priority, and in weight.
    """
    priorities = (
        ("urgent", URGENT_CALLER, 3),
        ("normal", NORMAL_CALLER, 4),
        ("background", BACKGROUND_CALLER, 3),
    )
    return [
        RequestClass(
            name,
            workload.overload_team,
            caller,
            weight,
            workload.overload_queries,
            deadline_ms=OVERLOAD_DEADLINE_MS,
        )
        for name, caller, weight in priorities
    ]


def make_crashing_class(workload: Workload) -> RequestClass:
    """Return the class of a request that crashes each searcher it reaches."""
    return RequestClass(
        "crashing", workload.overload_team, "reporter", 1, [workload.crash_query]
    )
