from __future__ import annotations

import base64

import testtools

from almondspool.platform.object_store_platform import ObjectStorePlatform
from almondspool.platform.store import StoredList, StoredObject


class ListingStore:
    """Store that lists the given objects."""

    def __init__(self, specs_by_name):
        self.specs_by_name = specs_by_name

    def list(self, kind, may_be_stale=False):
        objects = (
            StoredObject(kind, name, 3, spec)
            for name, spec in self.specs_by_name.items()
        )
        return StoredList(tuple(objects), 9)


class ObjectStorePlatformTests(testtools.TestCase):
    def test_one_malformed_object_does_not_hide_the_others_of_a_list(self):
        good = {"value": base64.b64encode(b"record").decode()}
        for odd in (
            None,
            [],
            5,
            {"value": "not base64!"},
            {"value": 7},
            {"value": "²"},
        ):
            platform = ObjectStorePlatform(ListingStore({"odd": odd, "good": good}))
            objects = platform.list("member").unwrap().objects_by_name
            self.assertEqual(b"record", objects["good"].value)
            self.assertEqual(b"", objects["odd"].value)
