"""Reports with tables and charts: self-contained HTML files, identical for identical figures."""

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
    """Charts cannot be drawn because matplotlib is not installed."""


def pyplot() -> Any:
    """Return matplotlib's pyplot, set to write SVG; raise ChartsUnavailable where matplotlib is not installed."""
    try:
        import matplotlib
    except ImportError:
        raise ChartsUnavailable("charts need matplotlib, which is not installed") from None
    matplotlib.use("svg")
    from matplotlib import pyplot as library

    matplotlib.rcParams["svg.hashsalt"] = "sprucepost"  # element ids are the same in each run
    return library


def svg_element(figure: Any) -> str:
    """Return the figure as an SVG element, and close the figure."""
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata={"Date": None})
    pyplot().close(figure)
    document = text.getvalue()
    return document[document.index("<svg") :]


def html_table(head: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    """Return an HTML table; the text of its cells is escaped."""

    def row(cells: Sequence[str], tag: str) -> str:
        return "<tr>" + "".join(f"<{tag}>{html.escape(cell)}</{tag}>" for cell in cells) + "</tr>"

    return "<table>" + row(head, "th") + "".join(row(line, "td") for line in lines) + "</table>"


def html_page(title: str, body: str) -> str:
    """Return an HTML document around ``body``, which is inserted as it is."""
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{html.escape(title)}</title>'
        f"<style>{_STYLE}</style><h1>{html.escape(title)}</h1>{body}</html>\n"
    )
