"""Reports of load runs: tables, and one HTML file with charts that loads nothing from elsewhere."""

from __future__ import annotations

import html
import json
from typing import Any

from sprucepost.plotting import COLOURS, html_page, html_table, pyplot, svg_element


def flat_figures(figures: dict[str, Any]) -> dict[str, float]:
    """Return the figures by their flattened names, such as ``placed_ms p99``, without the time series."""
    flat: dict[str, float] = {}

    def add(name: str, value: Any) -> None:
        if isinstance(value, dict):
            for key, inner in value.items():
                add(f"{name} {key}".strip(), inner)
        elif isinstance(value, (int, float)):
            flat[name] = value

    add("", {name: value for name, value in figures.items() if name not in ("buckets", "bucket_ms")})
    return flat


def comparison_rows(one: dict[str, Any], other: dict[str, Any]) -> list[list[str]]:
    """Return rows of a figure's name, both values and the ratio of the second to the first."""
    first, second = flat_figures(one), flat_figures(other)
    lines = []
    for name in dict.fromkeys([*first, *second]):
        before, after = first.get(name, 0.0), second.get(name, 0.0)
        lines.append([name, f"{before:g}", f"{after:g}", f"{after / before:.2f}" if before else "-"])
    return lines


def _svg(sides: dict[str, dict[str, Any]]) -> str:
    """Draw submissions due, placed within the aim and refused, and the slowest placement, over time."""
    figure, (rate_axes, slowest_axes) = pyplot().subplots(2, 1, figsize=(10, 7), sharex=True)
    for colour, (name, figures) in zip(COLOURS, sides.items(), strict=False):
        per_s = 1000.0 / figures["bucket_ms"]
        seconds = [n / per_s for n in range(len(figures["buckets"]))]
        due, good, _, refused, slowest = zip(*figures["buckets"], strict=True) if seconds else ((), (), (), (), ())
        rate_axes.step(seconds, [n * per_s for n in due], where="post", color=colour, alpha=0.35, label=f"{name}: due")
        rate_axes.step(seconds, [n * per_s for n in good], where="post", color=colour, label=f"{name}: placed in time")
        rate_axes.step(
            seconds, [n * per_s for n in refused], where="post", color=colour, ls=":", label=f"{name}: refused"
        )
        slowest_axes.step(seconds, slowest, where="post", color=colour, label=name)
    rate_axes.set_ylabel("submissions per second, by when they were due")
    slowest_axes.set_ylabel("slowest placement, ms")
    slowest_axes.set_xlabel("s")
    for axes in (rate_axes, slowest_axes):
        axes.set_ylim(bottom=0)
        if axes.get_legend_handles_labels()[0]:
            axes.legend(loc="upper left", fontsize="small")
    return svg_element(figure)


def render_page(title: str, sides: dict[str, dict[str, Any]], plans: dict[str, Any]) -> str:
    """Return the HTML of one or two runs by name. Raises ChartsUnavailable where matplotlib is missing."""
    names = list(sides)
    if len(names) == 1:
        table = html_table(
            ["figure", names[0]], [[name, f"{value:g}"] for name, value in flat_figures(sides[names[0]]).items()]
        )
    else:
        table = html_table(["figure", *names, "ratio"], comparison_rows(sides[names[0]], sides[names[1]]))
    plan = "".join(
        f"<h3>{html.escape(name)}</h3><pre>{html.escape(json.dumps(value, indent=1))}</pre>"
        for name, value in plans.items()
    )
    return html_page(title, f"{_svg(sides)}{table}<h2>Plan</h2>{plan}")
