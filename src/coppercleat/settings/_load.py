"""Reads a settings file and says what is wrong with it, and where."""

from __future__ import annotations

import pathlib

import msgspec
import yaml

from coppercleat.errors import SettingsError
from coppercleat.settings._model import Settings


def load_settings(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
      SettingsError: The message names the file, the key and the remedy.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: cannot be read: {error}",
            remedy="Name a readable UTF-8 file with --settings.",
        ) from error
    return parse_settings(text, source=str(path))


def parse_settings(text: str, *, source: str) -> Settings:
    """Checks the text of a settings file.

    Args:
      text: The YAML document.
      source: What to call the document in messages.

    Raises:
      SettingsError: The text is not YAML, has an unknown key, a value of
        the wrong type, or values that contradict each other.
    """
    try:
        settings = msgspec.convert(yaml.safe_load(text), Settings)
    except yaml.YAMLError as error:
        raise SettingsError(f"{source}: not YAML: {error}") from error
    except msgspec.ValidationError as error:
        raise SettingsError(
            f"{source}: {error}",
            remedy="Correct the key that follows '$'; see the settings reference.",
        ) from error
    problems = list(_contradictions(settings))
    if problems:
        raise SettingsError(
            f"{source}: {'; '.join(problems)}",
            remedy="Correct these keys; each must fit the other.",
            problems=problems,
        )
    return settings


def _contradictions(settings: Settings):
    """Yields one sentence for each pair of values that do not fit."""
    if settings.batch.challenge_s < 2 * settings.batch.poll_s:
        yield "$.batch.challenge_s must be at least twice $.batch.poll_s"
    orders = settings.orders
    if orders.lease_s < 2 * (orders.poll_s + orders.order_timeout_s):
        yield (
            "$.orders.lease_s must be at least twice "
            "$.orders.poll_s plus $.orders.order_timeout_s"
        )
    if settings.peers.suspect_after_s < 3 * settings.peers.heartbeat_s:
        yield "$.peers.suspect_after_s must be at least 3 times $.peers.heartbeat_s"
    listen = settings.listen
    if len({listen.rpc, listen.admin, listen.peers}) < 3:
        yield "$.listen.rpc, .admin and .peers must be three different addresses"
    for name in ("rpc", "admin", "peers"):
        port = int(getattr(listen, name).rpartition(":")[2])
        if port > 65_535:
            yield f"$.listen.{name} has a port above 65535"
