"""Figures as JSON lines, and straight lines through measured points."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any


def figure(name: str, value: float, **more: Any) -> None:
    """Prints one figure as a JSON object on a line of its own."""
    rounded = {k: round(v, 6) if isinstance(v, float) else v for k, v in more.items()}
    print(json.dumps({"figure": name, "value": round(value, 6), **rounded}), flush=True)


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Fits a line by least squares.

    Returns:
      Intercept, slope, and the largest absolute residual.
    """
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, residual


def slope(name: str, unit: str, points: Sequence[tuple[float, float]]) -> None:
    """Prints the slope through points, with its intercept and error."""
    intercept, per, residual = fit(points)
    figure(name, per, unit=unit, intercept=intercept, residual=residual, points=points)
