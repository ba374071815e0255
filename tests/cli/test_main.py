from __future__ import annotations

import contextlib
import io
import itertools
import json
import pathlib
import tempfile
from unittest import mock

import testtools

from almondspool.cli import main
from almondspool.cli.drained_edit import set_drained
from almondspool.codes import ResultCode, exit_code
from almondspool.protocol.document import parse_section
from tests.cli.loopback import LoopbackPool
from tests.configuration_session import ConfigurationSession, section_text
from tests.golden_session import verify_session

DOCUMENTS_DIR = pathlib.Path(__file__).parent.parent / "protocol" / "documents"
PARTIAL_ANSWER = {
    "request_id": "r1",
    "code": 301,
    "snapshot": 2,
    "generation": 1,
    "coverage": {
        "total": 3,
        "answered": 2,
        "late": 1,
        "failed": 0,
        "not_sent": 0,
        "missing": [{"shard": "alert-desk-01/2", "outcome": "late", "code": 801}],
    },
    "records": [{"record_id": "a1", "fields": {"suburb": "Bayswater", "unit": "2"}}],
    "elapsed_ms": 158.04,
    "retry_after_ms": 0,
    "message": "",
    "instance": "perth-1",
}


class CommandLineTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.session = ConfigurationSession()
        self.pool = LoopbackPool(self.session, json.dumps(PARTIAL_ANSWER).encode())
        self.lines = []
        tokens = (f"token-{number}" for number in itertools.count(1))
        replacements = {
            "urllib3.PoolManager": lambda **options: self.pool,
            "time.sleep": self.session.advance,
            "uuid.uuid4": lambda: mock.Mock(hex=next(tokens)),
        }
        for name, value in replacements.items():
            patcher = mock.patch(name, value)
            patcher.start()
            self.addCleanup(patcher.stop)

    def write(self, name, text):
        (self.directory / name).write_text(text)

    def run_tool(self, *arguments, expected=ResultCode.OK):
        """Run the tool with two instances and record the call and its output."""
        paths = [
            str(self.directory / argument) if argument.endswith(".yaml") else argument
            for argument in arguments
        ]
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(["almondspool", "--instance=perth-1,perth-2", *paths])
        text = (out.getvalue() + err.getvalue()).replace(f"{self.directory}/", "")
        self.lines.append(f"$ almondspool {' '.join(arguments)}")
        self.lines += [line.rstrip() for line in text.splitlines()]
        self.lines.append(f"exit code {code}")
        self.assertEqual(exit_code(expected), code, text)
        return out.getvalue()

    def test_document_workflow(self):
        self.write("desk.yaml", section_text("alert-desk", 1))
        self.write("audit.yaml", section_text("council-audit", 2))
        self.write("clash.yaml", section_text("donor-ledger", 2))
        self.run_tool("check", "desk.yaml", "audit.yaml")
        clashing_paths = ("audit.yaml", "clash.yaml")
        self.run_tool("check", *clashing_paths, expected=ResultCode.DOCUMENT_INVALID)
        self.run_tool("show")
        self.run_tool("diff", "desk.yaml")
        self.run_tool("apply", "desk.yaml", "audit.yaml", "--wait")
        self.run_tool("apply", "desk.yaml")
        apply_clash = ("apply", "clash.yaml")
        self.run_tool(*apply_clash, expected=ResultCode.DOCUMENT_INVALID)
        text = self.run_tool("show", "alert-desk")
        self.write("desk.yaml", text.replace("160", "200"))
        self.run_tool("diff", "desk.yaml")
        self.run_tool("apply", "desk.yaml", "--wait", "--json")
        self.lines.append("a colleague edited the version before")
        self.write("late.yaml", text.replace("160", "300"))
        self.run_tool("apply", "late.yaml", expected=ResultCode.DOCUMENT_CONFLICT)
        self.write("bare.yaml", section_text("alert-desk", 1, 300))
        self.run_tool("apply", "bare.yaml", expected=ResultCode.USAGE)
        self.run_tool("drain", "alert-desk-01-a", "--wait")
        self.run_tool("undrain", "alert-desk-01-a", "--team=alert-desk")
        self.run_tool("drain", "alert-desk-09-z", expected=ResultCode.USAGE)
        self.run_tool("apply", "bare.yaml", "--replace")
        self.run_tool("show", "none", expected=ResultCode.DOCUMENT_UNKNOWN_TEAM)
        self.run_tool("show")
        self.run_tool("status")
        verify_session("command_line_document", self.lines)

    def test_entries_search_and_explain(self):
        self.run_tool("entries", "--zone=perth-north")
        search_call = ("search", "alert-desk", "--query=suburb=Bayswater")
        self.run_tool(*search_call, expected=ResultCode.PARTIAL)
        sent = json.loads(self.pool.search_requests[0])
        self.assertEqual({"suburb": "Bayswater"}, sent["query"])
        self.run_tool("search", "alert-desk", "--query=x", expected=ResultCode.USAGE)
        self.run_tool("explain", "alert-desk", "alert-desk-01/0")
        explain_unknown_shard = ("explain", "alert-desk", "none")
        self.run_tool(*explain_unknown_shard, expected=ResultCode.REQUEST_MALFORMED)
        verify_session("command_line_requests", self.lines)

    def test_fleet_status(self):
        self.run_tool("status", "--fleet")
        verify_session("command_line_fleet", self.lines)

    def test_wait_reports_an_instance_that_is_behind(self):
        self.session.instances[2].is_partitioned = True
        self.write("desk.yaml", section_text("alert-desk", 1))
        code = ResultCode.DOCUMENT_NOT_IN_FORCE
        self.run_tool("apply", "desk.yaml", "--wait", "--timeout_s=2", expected=code)
        self.assertIn("not yet on perth-3", "\n".join(self.lines))

    def test_next_instance_is_tried_if_one_is_unreachable(self):
        self.pool.unreachable_instances.add("perth-1")
        self.run_tool("status")
        self.assertIn("instance perth-2", self.lines[1])
        self.pool.unreachable_instances.add("perth-2")
        self.run_tool("status", expected=ResultCode.INSTANCE_UNREACHABLE)

    def test_non_idempotent_request_is_sent_to_one_instance(self):
        self.pool.unreachable_instances.add("perth-1")
        search_call = (
            "search",
            "alert-desk",
            "--noidempotent",
            "--shard=alert-desk-01/0",
        )
        self.run_tool(*search_call, expected=ResultCode.INSTANCE_UNREACHABLE)
        self.assertEqual([], self.pool.search_requests)

    def test_json_with_a_value_prints_json(self):
        for argument in ("--json=true", "--json"):
            json.loads(self.run_tool("status", argument))
        self.assertIn("instance perth-1", self.run_tool("status", "--json=false"))
        error = self.run_tool("--json=true", "--frob", expected=ResultCode.USAGE)
        self.assertEqual(int(ResultCode.USAGE), json.loads(error)["code"])

    def test_acceptance_is_reported_if_no_instance_tells_the_status(self):
        self.write("desk.yaml", section_text("alert-desk", 1))
        self.pool.after_apply = lambda: self.pool.unreachable_instances.update(
            ("perth-1", "perth-2")
        )
        code = ResultCode.DOCUMENT_FORCE_UNKNOWN
        self.run_tool("apply", "desk.yaml", "--wait", expected=code)
        output = "\n".join(self.lines)
        self.assertIn("document generation 1", output)
        self.assertIn("not known which instances run generation 1", output)

    def test_lost_reply_to_apply_says_that_the_outcome_is_unknown(self):
        self.write("desk.yaml", section_text("alert-desk", 1))
        self.pool.silent_instances.update(("perth-1", "perth-2"))
        code = ResultCode.DOCUMENT_OUTCOME_UNKNOWN
        output = self.run_tool("apply", "desk.yaml", "--json", expected=code)
        section = json.loads(output)["sections"][0]
        self.pool.silent_instances.clear()
        self.run_tool("apply", "desk.yaml", f"--token={section['token']}")
        self.assertIn("document generation 1", self.lines[-2])

    def test_lost_reply_to_a_search_is_not_reported_as_unreachable(self):
        self.pool.silent_instances.update(("perth-1", "perth-2"))
        self.run_tool("search", "alert-desk", expected=ResultCode.OUTCOME_UNKNOWN)

    def test_check_lists_every_invalid_file(self):
        out = io.StringIO()
        paths = sorted(map(str, DOCUMENTS_DIR.glob("*.yaml")))
        with contextlib.redirect_stdout(out):
            code = main(["almondspool", "check", "--json", *paths])
        self.assertEqual(exit_code(ResultCode.DOCUMENT_INVALID), code)
        data = json.loads(out.getvalue())
        self.assertEqual(401, data["code"])
        sources = {problem["source"] for problem in data["problems"]}
        # One of the documents is valid.
        self.assertEqual(len(paths) - 1, len(sources))

    def test_help_and_usage(self):
        self.assertIn("examples:", self.run_tool("--help"))
        self.run_tool("frob", expected=ResultCode.USAGE)
        self.run_tool("--frob", expected=ResultCode.USAGE)
        self.run_tool("explain", "alert-desk", expected=ResultCode.USAGE)


class SetDrainedTests(testtools.TestCase):
    def test_only_the_drained_list_changes(self):
        text = section_text("alert-desk", 1) + "# last line\n"
        drained_texts = (
            "",
            "drained: []\n# kept\n",
            'drained:\n- "alert-desk-01-a"\n# kept\n',
            "drained:\n  - alert-desk-01-a  # why\n\n# kept\n",
        )
        for drained in drained_texts:
            edited = set_drained(drained + text, ["alert-desk-01-a"])
            section = parse_section(edited, "edited")
            self.assertEqual({"alert-desk-01-a"}, section.drained)
            self.assertEqual("# kept" in drained, "# kept" in edited)
            emptied = set_drained(edited, [])
            self.assertEqual(set(), parse_section(emptied, "edited").drained)
            self.assertEqual(edited.count("\n"), emptied.count("\n"))
