"""The operators' service: the configuration and the state of the fleet."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import trio

from coppercleat.configuration import Change, Kind, Operation
from coppercleat.errors import InvalidRequestError
from coppercleat.ids import InstanceId, Revision
from coppercleat.instance import Instance
from coppercleat.rpc._call import require_running
from coppercleat.rpc._errors import typed_errors
from coppercleat.v1 import operator_pb
from coppercleat.v1.operator_connect import OperatorService

_MAX_HISTORY = 500
_WATCH_POLL_S = 5.0

_KINDS = {
    operator_pb.EntityKind.DEPLOYMENT: Kind.DEPLOYMENT,
    operator_pb.EntityKind.ROUTE: Kind.ROUTE,
    operator_pb.EntityKind.TENANT: Kind.TENANT,
    operator_pb.EntityKind.MODEL: Kind.MODEL,
    operator_pb.EntityKind.ADAPTER: Kind.ADAPTER,
    operator_pb.EntityKind.VERSION: Kind.VERSION,
}
_KIND_NUMBERS = {kind: number for number, kind in _KINDS.items()}


class OperatorRpc(OperatorService):
    """Serves ``coppercleat.v1.OperatorService``."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance

    async def apply(
        self, request: operator_pb.ApplyRequest, ctx: Any
    ) -> operator_pb.ApplyResponse:
        """Accepts a change under the next revision or refuses it whole."""
        with typed_errors():
            require_running(self.instance)
            applied = await self.instance.keeper.apply(
                [_operation(i, o) for i, o in enumerate(request.operations)],
                seen=Revision(request.seen_revision),
                change_id=request.change_id,
                author=request.author,
                dry_run=request.dry_run,
            )
            return operator_pb.ApplyResponse(
                revision=applied.revision, resent=applied.resent
            )

    async def get_configuration(
        self, request: operator_pb.GetConfigurationRequest, ctx: Any
    ) -> operator_pb.GetConfigurationResponse:
        """Returns the configuration in force in this instance."""
        with typed_errors():
            snapshot = self.instance.keeper.document.snapshot()
            return operator_pb.GetConfigurationResponse(
                revision=snapshot.revision,
                entities=[
                    operator_pb.Entity(
                        kind=_KIND_NUMBERS[entity.kind],
                        name=entity.name,
                        body_json=entity.body.decode(),
                        revision=entity.revision,
                    )
                    for entity in snapshot.entities
                ],
            )

    async def watch_configuration(
        self, request: operator_pb.WatchConfigurationRequest, ctx: Any
    ) -> AsyncIterator[operator_pb.ConfigurationChange]:
        """Yields every revision past the given one, as each comes into force."""
        with typed_errors():
            keeper = self.instance.keeper
            sent = Revision(request.after_revision)
            while not self.instance.stopping:
                changed = keeper.changed
                changes = keeper.document.changes_after(sent)
                if changes is None:
                    changes = await keeper.store.changes_after(sent)
                for change in changes:
                    sent = change.revision
                    yield _change(change)
                with trio.move_on_after(_WATCH_POLL_S):
                    await changed.wait()

    async def list_history(
        self, request: operator_pb.ListHistoryRequest, ctx: Any
    ) -> operator_pb.ListHistoryResponse:
        """Returns accepted changes in order, from the platform."""
        with typed_errors():
            changes = await self.instance.keeper.store.changes_after(
                Revision(request.after_revision),
                limit=min(request.limit or _MAX_HISTORY, _MAX_HISTORY),
            )
            return operator_pb.ListHistoryResponse(
                changes=[_change(c) for c in changes]
            )

    async def get_status(
        self, request: operator_pb.GetStatusRequest, ctx: Any
    ) -> operator_pb.GetStatusResponse:
        """Returns what this instance knows of the fleet."""
        with typed_errors():
            return fleet_status(self.instance)


def fleet_status(instance: Instance) -> operator_pb.GetStatusResponse:
    """Returns what an instance knows of itself and the others."""
    keeper = instance.keeper
    return operator_pb.GetStatusResponse(
        instance=instance.settings.instance.id,
        revision=keeper.document.revision,
        ready=instance.ready,
        platform_reachable=instance.platform_reachable,
        configuration_source=keeper.source,
        instances=_instances(instance),
        upstreams=_upstreams(instance),
    )


def _instances(instance: Instance) -> list[operator_pb.InstanceStatus]:
    now = trio.current_time()
    detector = instance.detector
    own = instance.settings.instance
    found = [
        operator_pb.InstanceStatus(
            instance=own.id,
            zone=own.zone,
            alive=True,
            revision=instance.keeper.document.revision,
        )
    ]
    for name, member in sorted(detector.members.items()):
        found.append(
            operator_pb.InstanceStatus(
                instance=name,
                zone=member.zone,
                alive=detector.is_alive(InstanceId(name), now),
                revision=member.line.revision if member.line else 0,
                silent_s=now - member.advanced_at,
            )
        )
    return found


def _upstreams(instance: Instance) -> list[operator_pb.UpstreamStatus]:
    limits = instance.batch.batch_limits()
    found = []
    for record in sorted(instance.fleet.table, key=lambda r: r.upstream):
        running, limit = limits.get(record.upstream, (record.batch, 0))
        found.append(
            operator_pb.UpstreamStatus(
                upstream=record.upstream,
                zone=record.zone,
                state="leaving" if record.draining else record.breaker.state.value,
                online_in_flight=instance.fleet.online_total(record.upstream),
                batch_in_flight=running,
                batch_limit=limit,
                feeder=instance.fleet.feeder_of(record) or "",
            )
        )
    return found


def _operation(index: int, operation: operator_pb.Operation) -> Operation:
    kind = _KINDS.get(operation.kind)
    if kind is None:
        raise InvalidRequestError(f"operations[{index}].kind is not set")
    return Operation(
        kind=kind,
        name=operation.name,
        body=operation.body_json.encode(),
        delete=operation.delete,
    )


def _change(change: Change) -> operator_pb.ConfigurationChange:
    return operator_pb.ConfigurationChange(
        revision=change.revision,
        change_id=change.change_id,
        author=change.author,
        accepted_at=change.accepted_at,
        operations=[
            operator_pb.Operation(
                kind=_KIND_NUMBERS[operation.kind],
                name=operation.name,
                body_json=operation.body.decode(),
                delete=operation.delete,
            )
            for operation in change.operations
        ],
    )
