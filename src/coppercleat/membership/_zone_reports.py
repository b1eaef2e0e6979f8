"""Which members of other availability zones are alive, by reports of whole zones.

A heartbeat cannot carry the state of every member of a large fleet. Members of a zone
observe each other in full, and tell other zones only who of them is down. Reports bear
an age instead of a time, so that no clocks are compared, and the one of the latest
origin replaces all others.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from coppercleat.ids import InstanceId, ZoneId
from coppercleat.membership._messages import MAX_DOWN, ZoneReport

ZONE_SILENCE_S = 3.0
"""Age from which a report no longer counts, so that its whole zone is taken as dead.
Reports are passed on with heartbeats, and are rarely older than half of this."""


@attrs.frozen
class _KnownReport:
    """The latest report of a zone; ``origin_at`` is in seconds of the own clock."""

    origin_at: float
    down: frozenset[InstanceId]
    speakers: tuple[InstanceId, ...]


class ZoneReports:
    """The latest report of each other zone; the clock is passed in."""

    def __init__(self, own_zone: ZoneId) -> None:
        self.own_zone = own_zone
        self._reports: dict[ZoneId, _KnownReport] = {}

    def observe(self, reports: Iterable[ZoneReport], now: float) -> list[ZoneId]:
        """Records reports; returns the zones of which others may be alive now."""
        changed = []
        for report in reports:
            origin_at = now - report.age_s
            known = self._reports.get(report.zone)
            if report.zone == self.own_zone or (
                known is not None and origin_at <= known.origin_at
            ):
                continue
            latest = _KnownReport(origin_at, frozenset(report.down), report.speakers)
            self._reports[report.zone] = latest
            counted = known is not None and now - known.origin_at <= ZONE_SILENCE_S
            if known is None or not counted or known.down != latest.down:
                changed.append(report.zone)
        return changed

    def exclude_pause(self, pause_s: float, now: float) -> None:
        """Makes all reports younger by the duration of a suspension."""
        for zone, known in self._reports.items():
            origin_at = min(now, known.origin_at + pause_s)
            self._reports[zone] = attrs.evolve(known, origin_at=origin_at)

    def is_reported(self, zone: ZoneId, now: float) -> bool:
        """Returns whether a zone's report is recent enough to count."""
        known = self._reports.get(zone)
        return known is not None and now - known.origin_at <= ZONE_SILENCE_S

    def down_since(self, zone: ZoneId, instance: InstanceId) -> float | None:
        """Returns when a member was reported to be down, None if it was not."""
        known = self._reports.get(zone)
        if known is None or instance not in known.down:
            return None
        return known.origin_at

    def speakers(self, zone: ZoneId) -> tuple[InstanceId, ...]:
        """Returns the members that exchange a zone's sums with other zones."""
        known = self._reports.get(zone)
        return known.speakers if known is not None else ()

    def expires_at(self, zone: ZoneId) -> float:
        """Returns when a zone's report ceases to count, if no other comes."""
        return self._reports[zone].origin_at + ZONE_SILENCE_S

    def outgoing(self, now: float) -> tuple[ZoneReport, ...]:
        """Returns the reports that count, to be passed on within the own zone."""
        return tuple(
            ZoneReport(
                zone,
                round(now - known.origin_at, 3),
                tuple(sorted(known.down)),
                known.speakers,
            )
            for zone, known in self._reports.items()
            if now - known.origin_at <= ZONE_SILENCE_S
        )


def own_report(
    zone: ZoneId, down: Collection[InstanceId], speakers: tuple[InstanceId, ...]
) -> ZoneReport:
    """Returns the report of the own zone, as of now."""
    return ZoneReport(zone, 0.0, tuple(sorted(down)[:MAX_DOWN]), speakers)
