"""Measurements; programs outside the shipped package."""
