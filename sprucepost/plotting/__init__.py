"""Pages with tables and charts: one HTML file, nothing loaded from elsewhere; the same figures make the same file."""

from __future__ import annotations

import html
import io
from collections.abc import Sequence
from typing import Any

COLOURS = ("#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b", "#7f7f7f")

_STYLE = (
    "body{font-family:sans-serif;max-width:70em;margin:auto}td,th{padding:.1em .8em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}tr:nth-child(even){background:#eee}"
)


class ChartsUnavailable(Exception):
    """The charts' library is not installed."""


def pyplot() -> Any:
    """The charts' library, set to write SVG. ChartsUnavailable where it is not installed."""
    try:
        import matplotlib
    except ImportError:
        raise ChartsUnavailable("charts need matplotlib, which is not installed") from None
    matplotlib.use("svg")
    from matplotlib import pyplot as library

    matplotlib.rcParams["svg.hashsalt"] = "sprucepost"  # the same figures make the same file
    return library


def svg_element(figure: Any) -> str:
    """The element of a figure, which is closed."""
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata={"Date": None})
    pyplot().close(figure)
    whole = text.getvalue()
    return whole[whole.index("<svg") :]


def html_table(head: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    """A table of text."""

    def row(cells: Sequence[str], tag: str) -> str:
        return "<tr>" + "".join(f"<{tag}>{html.escape(cell)}</{tag}>" for cell in cells) + "</tr>"

    return "<table>" + row(head, "th") + "".join(row(line, "td") for line in lines) + "</table>"


def html_page(title: str, body: str) -> str:
    """A document around ``body``, which is HTML."""
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{html.escape(title)}</title>'
        f"<style>{_STYLE}</style><h1>{html.escape(title)}</h1>{body}</html>\n"
    )
