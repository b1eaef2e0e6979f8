"""Steps for members of which some are of the release before."""

import hashlib

import msgspec
from behave import then, when

from coppercleat.ids import InstanceId, Revision, ZoneId
from coppercleat.membership import EnvelopeReader, Heartbeat, LinkWatch, MemberLine

KEY = "fleet"
PEER = InstanceId("before")


def sealed_as_before(number):
    """Returns an envelope without the fields that came later."""
    line = MemberLine(PEER, "10.0.0.1:1", ZoneId("a"), 1, number, Revision(0))
    payload = msgspec.msgpack.encode([PEER, 1, number, Heartbeat(line, ())])
    key = hashlib.sha256(KEY.encode()).digest()
    mac = hashlib.blake2b(payload, key=key, digest_size=16).digest()
    return b"\x01" + mac + payload


@when(
    "for {seconds:d} s a member's envelopes of the format before arrive, "
    "and it is told news"
)
def told_news(context, seconds):
    watch, reader = LinkWatch(), EnvelopeReader(keys=[KEY])
    context.reopened = context.asked = number = 0
    for tick in range(seconds * 10):
        now = tick / 10
        if tick % 10 == 0:
            number += 1
            context.asked += watch.sent(PEER, number, now=now)
        if tick % 10 == 5:
            opened = reader.open(sealed_as_before(tick))
            watch.received(
                PEER, ack_number=opened.ack_number, wants_ack=opened.wants_ack, now=now
            )
        due = watch.tick(now)
        context.reopened += len(due.silent)
        for peer in due.ack_requests:
            number += 1
            context.asked += watch.sent(peer, number, now=now)


@then(
    "its link is opened anew {most:d} times at most, "
    "and it is asked {asked:d} times at most"
)
def hardly_opened(context, most, asked):
    assert context.reopened <= most, context.reopened
    assert context.asked <= asked, context.asked
