"""Renders line charts as SVG."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import xml.etree.ElementTree as ElementTree

__all__ = ["Span", "Series", "render_svg"]

_WIDTH, _HEIGHT = 720, 220
_LEFT, _RIGHT, _TOP, _BOTTOM = 56, 120, 24, 32
_COLOURS = ("#b3261e", "#1f5fa8", "#3a7d34", "#7a5c00", "#555555")
_TICKS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """A named line of a chart.

    Attributes:
      name: label of the line.
      points: x and y of each point, in ascending order of x.
    """

    name: str
    points: Sequence[tuple[float, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A named span of the x axis, drawn as a shaded area.

    Attributes:
      name: label of the span.
      start: x at which the span starts.
      end: x at which the span ends.
    """

    name: str
    start: float
    end: float


class _Scale:
    """Converts values to pixel coordinates of the chart.

    Attributes:
      right: value at the right end of the x axis.
      top: value at the upper end of the y axis.
    """

    def __init__(self, series: Sequence[Series], marks: Sequence[Span]) -> None:
        points = [point for line in series for point in line.points]
        ends = [x for x, _ in points] + [span.end for span in marks]
        self.right = max(ends, default=1.0) or 1.0
        self.top = max((y for _, y in points), default=1.0) or 1.0

    def x(self, value: float) -> float:
        """Returns the distance from the left edge, in pixels."""
        return _LEFT + value / self.right * (_WIDTH - _LEFT - _RIGHT)

    def y(self, value: float) -> float:
        """Returns the distance from the upper edge, in pixels."""
        return _HEIGHT - _BOTTOM - value / self.top * (_HEIGHT - _TOP - _BOTTOM)


def render_svg(
    title: str, series: Sequence[Series], marks: Sequence[Span] = ()
) -> str:
    """Returns a chart as an SVG element.

    Args:
      title: text that describes both axes.
      series: lines to draw.
      marks: spans of the x axis to shade.
    """
    root = ElementTree.Element(
        "svg",
        {
            "xmlns": "http://www.w3.org/2000/svg",
            "viewBox": f"0 0 {_WIDTH} {_HEIGHT}",
            "width": str(_WIDTH),
            "font-family": "sans-serif",
            "font-size": "11",
        },
    )
    scale = _Scale(series, marks)
    _text(root, _LEFT, _TOP - 10, title)
    for span in marks:
        _shade(root, scale, span)
    for number in range(_TICKS + 1):
        _tick(root, scale, number / _TICKS)
    for number, line in enumerate(series):
        _line(root, scale, line, number)
    return ElementTree.tostring(root, encoding="unicode")


def _shade(root: ElementTree.Element, scale: _Scale, span: Span) -> None:
    first, last = scale.x(span.start), scale.x(span.end)
    ElementTree.SubElement(
        root,
        "rect",
        {
            "x": f"{first:.1f}",
            "y": str(_TOP),
            "width": f"{max(last - first, 1):.1f}",
            "height": str(_HEIGHT - _TOP - _BOTTOM),
            "fill": "#eeeeee",
        },
    )
    _text(root, first + 2, _TOP + 11, span.name)


def _tick(root: ElementTree.Element, scale: _Scale, fraction: float) -> None:
    x, y = scale.right * fraction, scale.top * fraction
    _text(root, scale.x(x), _HEIGHT - _BOTTOM + 16, f"{x:.3g}")
    _text(root, 4, scale.y(y) + 4, f"{y:.3g}")
    ElementTree.SubElement(
        root,
        "line",
        {
            "x1": str(_LEFT),
            "x2": str(_WIDTH - _RIGHT),
            "y1": f"{scale.y(y):.1f}",
            "y2": f"{scale.y(y):.1f}",
            "stroke": "#cccccc",
        },
    )


def _line(
    root: ElementTree.Element, scale: _Scale, series: Series, number: int
) -> None:
    colour = _COLOURS[number % len(_COLOURS)]
    points = " ".join(
        f"{scale.x(x):.1f},{scale.y(y):.1f}" for x, y in series.points
    )
    ElementTree.SubElement(
        root,
        "polyline",
        {
            "points": points,
            "fill": "none",
            "stroke": colour,
            "stroke-width": "1.5",
        },
    )
    label = _text(root, _WIDTH - _RIGHT + 8, _TOP + 16 * (number + 1), "")
    label.text = series.name
    label.set("fill", colour)


def _text(
    root: ElementTree.Element, x: float, y: float, text: str
) -> ElementTree.Element:
    found = ElementTree.SubElement(
        root, "text", {"x": f"{x:.1f}", "y": f"{y:.1f}"}
    )
    found.text = text
    return found
