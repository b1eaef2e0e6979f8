"""Explores the real store code step by step, with faults at every step."""

from tests.exploration._explorer import Explorer, Violation
from tests.exploration._models import MODELS, without

__all__ = ["MODELS", "Explorer", "Violation", "without"]
