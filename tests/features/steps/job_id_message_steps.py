"""Steps for what instances of two versions make of each other's news of jobs."""

import msgspec
from behave import then, when

from coppercleat.ids import InstanceId, JobId
from coppercleat.serving import ItemEvents
from coppercleat.serving._peer_messages import JobHandover, JobTakeover
from coppercleat.serving._peers import _handlers
from tests.harness import HOST, free_port, make_peers
from tests.harness._twin_jobs import ID, ONE


class TakeoverBefore(msgspec.Struct, frozen=True, tag="taken", array_like=True):
    """``JobTakeover`` of the version before."""

    job: JobId


class HandoverBefore(msgspec.Struct, frozen=True, tag="handover", array_like=True):
    """``JobHandover`` of the version before."""

    job: JobId
    items: list[ItemEvents]


PROGRESS = [ItemEvents(0, 1, [b"text"], 0, False)]
MESSAGES = {
    ("a takeover", "this version"): JobTakeover(ID, HOST),
    ("a takeover", "the version before"): TakeoverBefore(ID),
    ("progress", "this version"): JobHandover(ID, PROGRESS, HOST),
    ("progress", "the version before"): HandoverBefore(ID, PROGRESS),
}
UNDERSTOOD = {
    "this version": JobTakeover | JobHandover,
    "the version before": TakeoverBefore | HandoverBefore,
}


@when("an instance of {receiver} hears {news} from one of {sender}")
def hears_news(context, receiver, news, sender):
    data = msgspec.msgpack.encode(MESSAGES[news, sender])
    message = msgspec.msgpack.decode(data, type=UNDERSTOOD[receiver])
    context.heard = [("read", message)]
    if receiver == "this version":
        context.heard = acts_on(message)


def acts_on(message):
    """Returns what an instance does with a message of a peer."""
    peers = make_peers("i", "a", free_port(), free_port())
    done = []

    def note(what, answer=None):
        return lambda *details: done.append((what, *details)) or answer

    peers.on_job_takeover = note("stops", PROGRESS)
    peers.on_unnamed_takeover = note("stops all")
    peers.on_job_handover = note("takes")
    peers.messenger.send = note("sends")
    _handlers.dispatch(peers, InstanceId("peer"), message)
    return done


OUTCOMES = {
    "stops the job of the host, and gives its progress": [
        ("stops", ONE),
        ("sends", "peer", JobHandover(ID, PROGRESS, HOST)),
    ],
    "stops all jobs of the id, and gives no progress": [("stops all", ID)],
    "reads the id": [("read", TakeoverBefore(ID))],
    "takes it for the job of the host": [("takes", ONE, PROGRESS)],
    "takes nothing": [],
    "reads the id and the items": [("read", HandoverBefore(ID, PROGRESS))],
}


@then("having heard it, the instance {outcome}")
def does(context, outcome):
    assert context.heard == OUTCOMES[outcome], context.heard
