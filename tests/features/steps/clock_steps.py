"""Steps for instances whose time of day jumps."""

import trio
from behave import then, when

from coppercleat.ids import InstanceId, UpstreamId, ZoneId
from tests.harness import free_port, make_peers

MS = 1000
STARTED_AT_MS = 100_000 * MS
X = UpstreamId("x")


@when(
    "one of {count:d} instances that tell each other of work starts again after "
    "{after:g} s, its clock {clock:g} s"
)
def start_again(context, count, after, clock):
    ports = [free_port() for _ in range(count)]

    def make(number, incarnation):
        peers = make_peers(f"i{number}", "a", ports[number], ports[0], incarnation)
        peers.observe_list(
            [
                (InstanceId(f"i{n}"), f"127.0.0.1:{port}", ZoneId("a"))
                for n, port in enumerate(ports)
            ]
        )
        return peers

    async def run():
        fleet = [make(number, STARTED_AT_MS) for number in range(count)]
        first = trio.CancelScope()
        async with trio.open_nursery() as nursery:

            async def run_first():
                with first:
                    await fleet[0].run()

            nursery.start_soon(run_first)
            for peers in fleet[1:]:
                nursery.start_soon(peers.run)
            await trio.sleep(2)
            assert all(len(peers.live_peers()) == count - 1 for peers in fleet)
            first.cancel()
            await trio.sleep(after)
            began = trio.current_time()
            again = make(0, STARTED_AT_MS + round((2 + after + clock) * MS))
            nursery.start_soon(again.run)
            again.placement.states[X].online = 3
            again.work_changed(urgent=True)
            others = fleet[1:]
            while trio.current_time() - began < 10:
                if all(peers.placement.peers.online(X) == 3 for peers in others):
                    break
                await trio.sleep(0.02)
            context.known_after = trio.current_time() - began
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("the others hear it and count its new work within {within:g} s")
def counted_again(context, within):
    assert context.known_after <= within, context.known_after
