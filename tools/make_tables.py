"""Generator of the pages of docs/ whose tables come from the code."""

from __future__ import annotations

import pathlib
import typing

from almondspool.codes import ResultCode, describe_code, exit_code
from almondspool.settings import REQUIRED, SETTINGS_TABLE

DOCS_DIR = pathlib.Path(__file__).resolve().parent.parent / "docs"

_CODES_HEADER = """\
# Result codes

Made from `almondspool/codes.py` by `make docs`. Answers and logs carry the code; a
process exits with the exit code.

| code | name | exit code | meaning |
|---|---|---|---|
"""

_SETTINGS_HEADER = """\
# Settings of an instance

Made from `almondspool/settings.py` by `make docs`. The file is YAML, one key a line;
a wrong name or value stops the daemon with file, line, key, value and what is allowed.

| setting | unit | default | meaning |
|---|---|---|---|
"""


def result_codes_page() -> str:
    """Return the text of docs/result-codes.md."""
    rows = [
        f"| {int(code)} | `{code.name}` | {exit_code(code)} | {describe_code(code)} |"
        for code in ResultCode
    ]
    return _CODES_HEADER + "\n".join(rows) + "\n"


def settings_page() -> str:
    """Return the text of docs/settings.md."""
    rows = []
    for row in SETTINGS_TABLE:
        default = "required" if row.default is REQUIRED else f"`{row.default}`"
        rows.append(f"| `{row.name}` | {row.unit} | {default} | {row.help} |")
    return _SETTINGS_HEADER + "\n".join(rows) + "\n"


PAGE_GENERATOR_BY_NAME: dict[str, typing.Callable[[], str]] = {
    "result-codes.md": result_codes_page,
    "settings.md": settings_page,
}


def main() -> None:
    """Write every generated page."""
    for name, generate_page in PAGE_GENERATOR_BY_NAME.items():
        (DOCS_DIR / name).write_text(generate_page())


if __name__ == "__main__":
    main()
