"""Workloads: the requests that callers of each deployment send."""

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


def _query_product(**values_by_field: tuple[str, ...]) -> list[dict[str, str]]:
    fields = tuple(values_by_field)
    rows = itertools.product(*values_by_field.values())
    return [dict(zip(fields, row, strict=True)) for row in rows]


SUMP_QUERIES = _query_product(suburb=_SUBURBS, street=_STREETS, model=_MODELS)
PIG_QUERIES = _query_product(
    shelter=_SHELTERS, breed=_BREEDS, sex=("boar", "sow"), status=_STATUSES
)


class Workload(NamedTuple):
    """Requests that are sent to one deployment.

    Attributes:
        deployment: Name of the deployment.
        classes: Classes of the everyday requests.
        overload_team: Team of the overload case, which searches all its shards.
        queries: Queries of the overload case.
        crash_query: Query that crashes searchers while the crash fault is set.
    """

    deployment: str
    classes: list[RequestClass]
    overload_team: str
    queries: list[dict[str, str]]
    crash_query: dict[str, str]


PERTH = Workload(
    "perth",
    [
        RequestClass("flood sweep", "alert-desk", "flood-desk", 3, SUMP_QUERIES),
        RequestClass(
            "doorstep check",
            "alert-desk",
            "technician",
            3,
            SUMP_QUERIES,
            services=["alert-desk-04"],
        ),
        RequestClass("insurer", "insurer-portal", "insurer", 1, SUMP_QUERIES),
        RequestClass("member", "member-records", "member", 2, SUMP_QUERIES),
        RequestClass("audit", "council-audit", "inspector", 1, SUMP_QUERIES),
    ],
    "alert-desk",
    SUMP_QUERIES,
    {"suburb": "Crash Corner"},
)
TX_CENTRAL = Workload(
    "tx-central",
    [
        RequestClass("adopter match", "match-portal", "adopter", 3, PIG_QUERIES),
        RequestClass(
            "vet slot",
            "vet-scheduler",
            "vet",
            3,
            PIG_QUERIES,
            services=["vet-scheduler-07"],
        ),
        RequestClass("vet sweep", "vet-scheduler", "vet", 1, PIG_QUERIES),
        RequestClass("intake", "shelter-desk", "staff", 2, PIG_QUERIES),
        RequestClass("donor", "donor-ledger", "office", 1, PIG_QUERIES),
    ],
    "match-portal",
    PIG_QUERIES,
    {"shelter": "Crash Corner"},
)
WIDE = Workload(
    "wide",
    [RequestClass("wide sweep", "alert-desk", "flood-desk", 1, SUMP_QUERIES)],
    "alert-desk",
    SUMP_QUERIES,
    {},
)


def overload_classes(workload: Workload) -> list[RequestClass]:
    """Return one class for each priority; only caller and weight differ otherwise."""
    weights = (
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
            workload.queries,
            deadline_ms=OVERLOAD_DEADLINE_MS,
        )
        for name, caller, weight in weights
    ]


def crash_class(workload: Workload) -> RequestClass:
    """Return the class of a request that crashes searchers."""
    return RequestClass(
        "crashing", workload.overload_team, "reporter", 1, [workload.crash_query]
    )
