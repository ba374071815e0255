from __future__ import annotations

import testtools
import yaml

from almondspool.protocol.document import parse_section
from almondspool.protocol.document_checks import check_document
from almondspool.standins.deployments import PLANS_BY_NAME, build_deployment

# Number of searchers, then slots, connections and connect_cost_ms of each.
SEARCHERS_BY_TEAM_BY_DEPLOYMENT = {
    "perth": {
        "alert-desk": (30, 2, 25, 6),
        "insurer-portal": (45, 2, 25, 6),
        "member-records": (6, 2, 110, 1),
        "council-audit": (3, 2, 110, 1),
    },
    "tx-central": {
        "match-portal": (30, 2, 25, 6),
        "vet-scheduler": (45, 2, 25, 6),
        "shelter-desk": (6, 3, 40, 1),
        "donor-ledger": (3, 3, 40, 1),
    },
}


class DeploymentsTests(testtools.TestCase):
    def test_region_sizes(self):
        for name, expected_by_team in SEARCHERS_BY_TEAM_BY_DEPLOYMENT.items():
            searchers = build_deployment(name, 7300).searchers_by_id.values()
            for team, expected in expected_by_team.items():
                team_searchers = [item for item in searchers if item.team == team]
                limits = {
                    (item.slots, item.connections, item.connect_cost_ms)
                    for item in team_searchers
                }
                self.assertEqual({expected[1:]}, limits)
                self.assertEqual(expected[0], len(team_searchers))

    def test_addresses_and_ids_are_unique(self):
        for name in PLANS_BY_NAME:
            searchers = build_deployment(name, 7300).searchers_by_id.values()
            addresses = {item.address for item in searchers}
            self.assertEqual(len(searchers), len(addresses))

    def test_each_shard_is_held_by_its_replicas_in_different_zones(self):
        for name in PLANS_BY_NAME:
            deployment = build_deployment(name, 7300, snapshots=3, repartition_at=2)
            for text in deployment.section_texts_by_team.values():
                for snapshot in yaml.safe_load(text)["snapshots"]:
                    self.check_snapshot(deployment, snapshot)

    def check_snapshot(self, deployment, snapshot):
        for shard in snapshot["shards"]:
            replicas = [deployment.searchers_by_id[name] for name in shard["replicas"]]
            for searcher in replicas:
                held = searcher.shards_by_snapshot[snapshot["id"]]
                self.assertIn(shard["id"], held)
            self.assertEqual(2, len({searcher.zone for searcher in replicas}))

    def test_documents_are_accepted(self):
        for name in PLANS_BY_NAME:
            deployment = build_deployment(name, 7300)
            sections_by_team = {
                team: parse_section(text, team)
                for team, text in deployment.section_texts_by_team.items()
            }
            self.assertEqual([], list(check_document(sections_by_team)))

    def test_section_matches_the_document_model(self):
        deployment = build_deployment("perth", 7300)
        section = yaml.safe_load(deployment.section_texts_by_team["alert-desk"])
        self.assertEqual("alert-desk", section["team"])
        self.assertEqual("urgent", section["priority"])
        upstreams = section["services"]["alert-desk-01"]["upstreams"]
        self.assertEqual(
            {
                "address": "127.0.0.1:7300",
                "zone": "perth-north",
                "slots": 2,
                "connections": 25,
                "connect_cost_ms": 6,
            },
            upstreams["alert-desk-01-a"],
        )
        self.assertEqual(
            {
                "id": "alert-desk-01/0",
                "service": "alert-desk-01",
                "replicas": ["alert-desk-01-a", "alert-desk-01-b"],
            },
            section["snapshots"][0]["shards"][0],
        )
