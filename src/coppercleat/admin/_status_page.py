"""A read-only status page, as HTML without scripts."""

from __future__ import annotations

import html
from collections.abc import Iterable, Sequence

from coppercleat.instance import Instance
from coppercleat.rpc import fleet_status

_STYLE = (
    "body{font-family:sans-serif;margin:2em}"
    "table{border-collapse:collapse;margin-bottom:2em}"
    "td,th{border:1px solid #999;padding:.3em .6em;text-align:left}"
)


def status_page(instance: Instance) -> str:
    """Returns the page."""
    status = fleet_status(instance)
    about = [
        ("zone", instance.settings.instance.zone),
        ("revision", status.revision),
        ("configuration from", status.configuration_source),
        ("ready", status.ready),
        ("platform reachable", status.platform_reachable),
        ("calls in flight", instance.in_flight),
        ("segments held", len(instance.batch.state.held)),
    ]
    instances = [
        (i.instance, i.zone, i.alive, i.revision, f"{i.silent_s:.1f}")
        for i in status.instances
    ]
    upstreams = [
        (
            u.upstream,
            u.zone,
            u.state,
            u.online_in_flight,
            u.batch_in_flight,
            u.batch_limit,
            u.feeder,
        )
        for u in status.upstreams
    ]
    title = html.escape(f"coppercleat {status.instance}")
    return (
        f"<!doctype html><title>{title}</title><style>{_STYLE}</style><h1>{title}</h1>"
        + _table(("what", "value"), about)
        + "<h2>Instances</h2>"
        + _table(("instance", "zone", "alive", "revision", "silent s"), instances)
        + "<h2>Upstreams</h2>"
        + _table(
            ("upstream", "zone", "state", "online", "batch", "batch limit", "feeder"),
            upstreams,
        )
    )


def _table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    cells = "".join(f"<th>{html.escape(name)}</th>" for name in head)
    lines = [f"<tr>{cells}</tr>"]
    for row in rows:
        cells = "".join(f"<td>{html.escape(str(value))}</td>" for value in row)
        lines.append(f"<tr>{cells}</tr>")
    return f"<table>{''.join(lines)}</table>"
