from __future__ import annotations

import testtools

from almondspool.standins.deployments import build_deployment
from almondspool.standins.records import (
    plain_scan,
    records_by_shard,
    service_records,
)


class RecordsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        deployment = build_deployment("demo", 7300, snapshots=3, repartition_at=3)
        self.dataset = deployment.datasets_by_team["alert-desk"]
        self.service_id = self.dataset.service_ids[0]

    def records_by_id(self, snapshot: int):
        records = service_records(self.dataset, self.service_id, snapshot)
        return {record.record_id: record for record in records}

    def test_same_seed_gives_same_records(self):
        self.assertEqual(self.records_by_id(2), self.records_by_id(2))

    def test_each_record_is_in_one_shard(self):
        for snapshot in (1, 2, 3):
            by_shard = records_by_shard(self.dataset, self.service_id, snapshot)
            ids = [record.record_id for part in by_shard.values() for record in part]
            self.assertEqual(sorted(self.records_by_id(snapshot)), sorted(ids))

    def test_snapshots_differ_in_some_records(self):
        first, second = self.records_by_id(1), self.records_by_id(2)
        common = first.keys() & second.keys()
        revised = {name for name in common if first[name] != second[name]}
        self.assertTrue(first.keys() - second.keys())
        self.assertEqual(1, len(second.keys() - first.keys()))
        self.assertTrue(0 < len(revised) < len(common))
        for name in revised:
            self.assertEqual("1", second[name].fields["revision"])

    def test_repartition_moves_records(self):
        second = records_by_shard(self.dataset, self.service_id, 2)
        third = records_by_shard(self.dataset, self.service_id, 3)
        self.assertEqual(len(second) + 1, len(third))
        self.assertNotEqual(
            second[f"{self.service_id}/0"], third[f"{self.service_id}/0"]
        )

    def test_plain_scan_omits_missing_shards(self):
        shard = f"{self.service_id}/0"
        held = records_by_shard(self.dataset, self.service_id, 1)[shard]
        complete = plain_scan(self.dataset, 1, {}, services=[self.service_id])
        partial = plain_scan(
            self.dataset, 1, {}, services=[self.service_id], missing_shards=[shard]
        )
        self.assertTrue(held)
        self.assertEqual(sorted(complete), sorted(partial + held))

    def test_plain_scan_matches_every_field(self):
        query = {"suburb": "Maylands", "status": "armed"}
        found = plain_scan(self.dataset, 1, query)
        self.assertTrue(found)
        for record in found:
            self.assertEqual(query, {key: record.fields[key] for key in query})
