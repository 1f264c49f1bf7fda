"""Tables in ``docs/CAPACITY.md``: writes them between markers from kept results and checks that they agree.

<!-- table: NAME -->
| written | by the command |
<!-- end of NAME -->
"""

from __future__ import annotations

import re
from collections.abc import Sequence

from sprucepost.scale.tables import COMMAND_COLUMN, Table

_BLOCK = re.compile(r"<!-- table: (?P<name>[\w-]+) -->\n(?P<body>.*?)<!-- end of (?P=name) -->", re.DOTALL)


def markdown(table: Table) -> str:
    """The table as Markdown lines, each with a trailing newline."""
    if not table.rows:
        return "Not measured.\n"
    lines = [table.head, tuple("---" for _ in table.head), *table.rows]
    return "".join("| " + " | ".join(cell.replace("|", "\\|") for cell in line) + " |\n" for line in lines)


def filled(page: str, tables: Sequence[Table]) -> str:
    """The page with those tables filled in; text between other markers is unchanged."""
    texts = {table.name: markdown(table) for table in tables}

    def block(found: re.Match[str]) -> str:
        name = found["name"]
        return f"<!-- table: {name} -->\n{texts.get(name, found['body'])}<!-- end of {name} -->"

    return _BLOCK.sub(block, page)


def problems(page: str, tables: Sequence[Table]) -> list[str]:
    """Differences between the page and the results, one line each."""
    found = {match["name"]: match["body"] for match in _BLOCK.finditer(page)}
    texts = {table.name: markdown(table) for table in tables}
    lines = [f"no markers for the table {name}" for name in texts if name not in found]
    lines += [f"the table {name} is not what the results say: write it again" for name in _different(found, texts)]
    lines += [f"nothing writes the table {name}" for name in found if name not in texts]
    for table in tables:
        at = table.head.index(COMMAND_COLUMN)
        lines += [
            f"the row {row[0]} of {table.name} names no command" for row in table.rows if not row[at].strip("`- ")
        ]
    return lines


def _different(found: dict[str, str], texts: dict[str, str]) -> list[str]:
    return [name for name, text in texts.items() if name in found and found[name] != text]
