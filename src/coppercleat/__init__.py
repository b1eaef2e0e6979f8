"""Serves online requests and batch jobs of language models on one fleet."""

__version__ = "0.1.0"
