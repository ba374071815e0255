"""Draws days with random faults for the users' bench, as TOML files.

Run ``python -m tools.draw_days FAMILY COUNT SEED FOLDER``. A family is a fault with its
variants, such as ``restored``; each day combines it with changes and other faults.
"""

from __future__ import annotations

import pathlib
import random
import sys

DAY_S = 34.0
_ROUTE_CHANGE = {"kind": "config_change", "how": "route"}
# Faults and planned work that a day may combine with its family, as ``(table, entry)``.
_COMPANIONS = (
    ("plan", {"kind": "release", "share": 0.3}),
    ("plan", {"kind": "scale_in", "share": 0.2}),
    ("plan", {"kind": "roll_term", "share": 1.0, "gap_s": 1.5}),
    ("plan", {"kind": "reshard", "x": 3.0}),
    ("plan", {"kind": "config_storm", "count": 5, "gap_s": 0.4}),
    ("plan", {"kind": "big_config", "count": 40}),
    ("plan", {"kind": "hup", "share": 0.5}),
    ("faults", {"kind": "node_kill", "share": 0.3}),
    ("faults", {"kind": "herd_kill", "share": 0.9}),
    ("faults", {"kind": "node_freeze", "share": 0.3, "for_s": 3.0}),
    ("faults", {"kind": "core_cut", "count": 2, "for_s": 4.0}),
    ("faults", {"kind": "node_cut", "share": 0.3, "for_s": 3.0}),
    ("faults", {"kind": "replace_with_reuse", "share": 0.2, "how": "drain"}),
    ("faults", {"kind": "srv_crash", "share": 0.3, "for_s": 4.0}),
    ("faults", {"kind": "platform_lost", "x": 0.4, "how": "late", "for_s": 4.0}),
    ("faults", {"kind": "platform_slow", "x": 40.0, "for_s": 3.0}),
    ("faults", {"kind": "platform_compact"}),
    ("faults", {"kind": "platform_down", "how": "silent", "for_s": 2.5}),
    ("faults", {"kind": "platform_down", "how": "nodes busy", "for_s": 4.0}),
    ("faults", {"kind": "platform_down", "how": "lapse", "for_s": 4.0}),
    ("faults", {"kind": "reset_conns", "share": 0.5, "x": 0.8}),
    ("faults", {"kind": "clock_step", "share": 0.5, "x": 3000, "for_s": 6.0}),
    ("faults", {"kind": "burst", "x": 2.0, "for_s": 5.0}),
)


class Day:
    """One day: its name, faults and planned work."""

    def __init__(self, name: str) -> None:
        """Start without faults."""
        self.name = name
        self.entries_by_table: dict[str, list[dict]] = {"faults": [], "plan": []}

    def add(self, table: str, at: float, entry: dict) -> None:
        """Add an entry at a time in seconds from the start of traffic."""
        at = round(min(max(0.0, at), DAY_S - 2.0), 2)
        self.entries_by_table[table].append({"at": at, **entry})

    def to_toml(self) -> str:
        """Return the day as the bench reads it."""
        lines = [f'name = "{self.name}"', 'slot = "trouble"']
        for table, entries in self.entries_by_table.items():
            ordered = sorted(entries, key=lambda entry: entry["at"])
            texts = [f"  {_to_inline_table(entry)}," for entry in ordered]
            lines += [f"{table} = [", *texts, "]"]
        return "\n".join(lines) + "\n"


def draw_restored(day: Day, rng: random.Random) -> None:
    """Restore the store once or twice, with changes before and after it."""
    restored_at = rng.uniform(8.0, 20.0)
    lost_s = rng.uniform(1.0, 12.0)
    away_s = rng.choice((0.05, 0.3, 1.0, 2.5, 4.0))
    how = {"kind": "platform_down", "how": "restored"}
    times = [restored_at]
    if rng.random() < 0.4:
        times.append(restored_at + away_s + rng.choice((0.5, 1.0, 4.0, 9.0)))
    for at in times:
        day.add("faults", at, {**how, "x": round(lost_s, 2), "for_s": away_s})
    for _ in range(rng.randint(0, 8)):
        at = restored_at - rng.uniform(0.0, lost_s + 1.0)
        day.add("plan", at, _ROUTE_CHANGE)
    for _ in range(rng.randint(0, 3)):
        day.add("plan", times[-1] + away_s + rng.uniform(0.0, 8.0), _ROUTE_CHANGE)


def draw_stranded(day: Day, rng: random.Random) -> None:
    """Cut instances off from all upstreams once or twice."""
    for start_at in (rng.uniform(3.0, 8.0), rng.uniform(18.0, 22.0)):
        where = rng.choice(("", " most", " zone", " zone"))
        style = rng.choice(("", " reset", " refuse"))
        entry = {
            "kind": "node_cut",
            "how": f"stranded{where}{style}",
            "share": round(rng.uniform(0.2, 1.0), 2),
            "for_s": round(rng.uniform(5.0, 13.0), 1),
        }
        day.add("faults", start_at, entry)
    for _ in range(rng.randint(0, 2)):
        day.add("plan", rng.uniform(2.0, 28.0), _ROUTE_CHANGE)


FAMILIES = {"restored": draw_restored, "stranded": draw_stranded}


def draw_day(family: str, seed: int) -> Day:
    """Return the day of a family with a seed."""
    rng = random.Random(f"{family}/{seed}")
    day = Day(f"{family}-{seed}")
    FAMILIES[family](day, rng)
    for table, entry in rng.sample(_COMPANIONS, rng.choice((0, 1, 1, 2))):
        day.add(table, rng.uniform(3.0, 28.0), entry)
    return day


def _to_inline_table(entry: dict) -> str:
    pairs = [
        f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}"
        for key, value in entry.items()
    ]
    return "{ " + ", ".join(pairs) + " }"


def main(family: str, count: int, seed: int, folder: str) -> None:
    """Write days with consecutive seeds into a folder."""
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    for each in range(seed, seed + count):
        day = draw_day(family, each)
        (path / f"{day.name}.toml").write_text(day.to_toml())


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4])
