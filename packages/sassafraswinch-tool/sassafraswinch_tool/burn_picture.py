"""Chart of a burn report, written to an image file."""

from pathlib import Path

from matplotlib.axes import Axes
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from sassafraswinch.burn_format import format_rate, series_name
from sassafraswinch.burn_report import BurnReport
from sassafraswinch.burn_windows import BURN_WINDOWS_MS, window_name
from sassafraswinch_node.burn_page import OUTCOME_COLOURS, rate_colour
from sassafraswinch_tool.burn_text import SHARE_WINDOW_MS

WIDTH_INCHES = 12.0
ROW_INCHES = 0.34
MARGIN_INCHES = 1.3
DOTS_PER_INCH = 110


def draw_burn(report: BurnReport, path: Path) -> None:
    """Write a chart of outcome shares and burn rates, with one row per series.

    Args:
        report: Report of one node, or the merged report of several.
        path: Output file; its suffix selects the format, such as ``.png`` or ``.svg``.

    Raises:
        OSError: The file can't be written.
        ValueError: The suffix is not a supported format.
    """
    height = MARGIN_INCHES + ROW_INCHES * max(len(report.series), 1)
    figure = Figure(figsize=(WIDTH_INCHES, height), dpi=DOTS_PER_INCH)
    FigureCanvasAgg(figure)
    shares, rates = figure.subplots(1, 2, sharey=True, width_ratios=(3, 2))
    # Matplotlib parses text between dollar signs as a math expression, and raises
    # an error if the expression is invalid.
    names = [series_name(series).replace("$", r"\$") for series in report.series]
    shares.set_yticks(range(len(names)), names)
    shares.set_ylim(max(len(names), 1) - 0.5, -0.5)
    _draw_shares(shares, report)
    _draw_rates(rates, report)
    figure.tight_layout()
    figure.savefig(path)


def _draw_shares(axes: Axes, report: BurnReport) -> None:
    counts = [
        next((w.counts for w in s.windows if w.window_ms == SHARE_WINDOW_MS), s.total)
        for s in report.series
    ]
    offsets = [0.0] * len(counts)
    for outcome, colour in OUTCOME_COLOURS.items():
        widths = [
            100.0 * getattr(count, outcome) / max(count.counted, 1) for count in counts
        ]
        axes.barh(range(len(counts)), widths, left=offsets, color=colour, label=outcome)
        offsets = [start + width for start, width in zip(offsets, widths, strict=True)]
    axes.set_xlim(0, 100)
    axes.set_xlabel(f"% of calls, last {window_name(SHARE_WINDOW_MS)}")
    axes.legend(loc="lower center", bbox_to_anchor=(0.5, 1.0), ncols=4, frameon=False)


def _draw_rates(axes: Axes, report: BurnReport) -> None:
    columns = range(len(BURN_WINDOWS_MS))
    for row, series in enumerate(report.series):
        rates = {window.window_ms: window.burn_rate for window in series.windows}
        for column in columns:
            rate = rates.get(BURN_WINDOWS_MS[column])
            axes.barh(row, 0.96, left=column, color=rate_colour(rate))
            axes.text(column + 0.48, row, format_rate(rate), ha="center", va="center")
    axes.set_xlim(0, len(BURN_WINDOWS_MS))
    names = [window_name(window_ms) for window_ms in BURN_WINDOWS_MS]
    axes.set_xticks([column + 0.48 for column in columns], names)
    axes.set_xlabel("burn rate (1 = objective just met)")
    axes.tick_params(length=0)
    axes.spines[:].set_visible(False)
