"""What a load run found: one HTML file with its tables and charts, nothing loaded from elsewhere."""

from __future__ import annotations

import html
import json
from typing import Any

from sprucepost.plotting import COLOURS, html_page, html_table, pyplot, svg_element


def flat_figures(figures: dict[str, Any]) -> dict[str, float]:
    """The figures without their series, flat: ``placed_ms p99`` and so on."""
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
    """Figure, the first's, the second's, and second over first."""
    first, second = flat_figures(one), flat_figures(other)
    lines = []
    for name in dict.fromkeys([*first, *second]):
        was, now = first.get(name, 0.0), second.get(name, 0.0)
        lines.append([name, f"{was:g}", f"{now:g}", f"{now / was:.2f}" if was else "-"])
    return lines


def _svg(sides: dict[str, dict[str, Any]]) -> str:
    """Asks due, placed within the aim and refused, and the slowest placement, over time."""
    figure, (rate, worst) = pyplot().subplots(2, 1, figsize=(10, 7), sharex=True)
    for colour, (name, figures) in zip(COLOURS, sides.items(), strict=False):
        per_s = 1000.0 / figures["bucket_ms"]
        seconds = [n / per_s for n in range(len(figures["buckets"]))]
        due, good, _, refused, slowest = zip(*figures["buckets"], strict=True) if seconds else ((), (), (), (), ())
        rate.step(seconds, [n * per_s for n in due], where="post", color=colour, alpha=0.35, label=f"{name}: due")
        rate.step(seconds, [n * per_s for n in good], where="post", color=colour, label=f"{name}: placed in time")
        rate.step(seconds, [n * per_s for n in refused], where="post", color=colour, ls=":", label=f"{name}: refused")
        worst.step(seconds, slowest, where="post", color=colour, label=name)
    rate.set_ylabel("asks a second, by when they were due")
    worst.set_ylabel("slowest placement, ms")
    worst.set_xlabel("s")
    for axes in (rate, worst):
        axes.set_ylim(bottom=0)
        if axes.get_legend_handles_labels()[0]:
            axes.legend(loc="upper left", fontsize="small")
    return svg_element(figure)


def render_page(title: str, sides: dict[str, dict[str, Any]], plans: dict[str, Any]) -> str:
    """The HTML of one or two runs, by name. ChartsUnavailable where matplotlib is missing."""
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
