from __future__ import annotations

import pathlib

import testtools

from almondspool.codes import ResultCode
from almondspool.errors import DocumentError
from almondspool.protocol.document import (
    MAX_SECTION_BYTES,
    decode_section,
    parse_section,
)
from almondspool.protocol.document_checks import check_document, check_section_update
from almondspool.state.document import Priority
from tests.golden_session import verify_session

DOCUMENTS_DIR = pathlib.Path(__file__).parent / "documents"
VALID = (DOCUMENTS_DIR / "valid.yaml").read_text()


def describe_result(path: pathlib.Path) -> str:
    try:
        parse_section(path.read_text(), path.name)
    except DocumentError as error:
        return str(error)
    return f"{path.name}: accepted"


class ParseSectionTests(testtools.TestCase):
    def test_valid_section(self):
        section = parse_section(VALID, "valid.yaml")
        self.assertEqual(Priority.URGENT, section.priority)
        self.assertEqual(25, section.upstreams_by_id["alert-desk-01-a"].max_connections)
        shard = section.newest_snapshot().shards_by_id["alert-desk-01/0"]
        self.assertEqual(("alert-desk-01-a", "alert-desk-01-b"), shard.replicas)

    def test_broken_documents_are_explained(self):
        texts = [describe_result(path) for path in sorted(DOCUMENTS_DIR.glob("*.yaml"))]
        verify_session("document_errors", texts)

    def test_every_broken_document_has_its_own_error(self):
        paths = set(DOCUMENTS_DIR.glob("*.yaml")) - {DOCUMENTS_DIR / "valid.yaml"}
        messages = {describe_result(path).split(": ", 1)[1] for path in paths}
        self.assertEqual(len(paths), len(messages))
        self.assertGreaterEqual(len(paths), 10)

    def test_oversized_section(self):
        text = VALID + "#" * MAX_SECTION_BYTES
        error = self.assertRaises(DocumentError, decode_section, text.encode())
        self.assertEqual(ResultCode.DOCUMENT_TOO_LARGE, error.code)

    def test_malformed_text_is_refused(self):
        for value in (
            b"\xff\xfe",
            b"[" * 100_000,
            b"a: 2024-99-99",
            b"",
            b"- 1",
            b"\0",
        ):
            self.assertRaises(DocumentError, decode_section, value)


class CheckDocumentTests(testtools.TestCase):
    def test_teams_share_no_upstream_or_address(self):
        section = parse_section(VALID, "a")
        other = parse_section(VALID.replace("team: alert-desk", "team: audit"), "b")
        renamed = parse_section(
            VALID.replace("team: alert-desk", "team: desk").replace("01-a", "01-x"), "c"
        )
        by_team = {item.team: item for item in (section, other, renamed)}
        problems = check_document(by_team)
        verify_session("document_cross_check", [str(problem) for problem in problems])

    def test_snapshot_ids_never_decrease_and_shards_never_change(self):
        old = parse_section(VALID.replace("id: 1", "id: 2"), "old")
        changed = VALID.replace("id: 1", "id: 2").replace(
            "id: alert-desk-01/0", "id: x"
        )
        self.assertEqual((), check_section_update(old, old))
        backward = check_section_update(old, parse_section(VALID, "new"))
        self.assertIn("allowed is 2 or higher", str(backward[0]))
        repartitioned = check_section_update(old, parse_section(changed, "new"))
        self.assertIn("needs a new snapshot id", str(repartitioned[0]))
