"""Steps for what is followed of the store, while its reads and its history fail."""

import contextlib
from collections.abc import Awaitable, Callable

import msgspec
import trio
import trio.testing
from behave import then, when

from coppercleat.errors import CoppercleatError, PlatformUnavailableError
from coppercleat.ids import JobRef
from coppercleat.jobs import JobIndex, JobRow, StoredJob
from coppercleat.storage import (
    Changes,
    HistoryLostError,
    MemoryPlatform,
    Put,
    TableFollower,
    Transaction,
    decode_row,
)
from tests.harness import PLANTS

LOOK_S = 0.4
FULL_LOOK_S = 7.0
"""Longer than between two reads of all."""

PARTS = ("a.example", "b.example")


class FailingPlatform(MemoryPlatform):
    """A store whose history and scans fail when they are told to.

    Attributes:
      lost: Whether the history is lost.
      omits: Whether changes are omitted.
      shows: What it shows as changes instead of all of them; None for all.
      takes_s: Seconds that each call takes.
      on_scan: Called before each scan, with how many came before.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lost = self.omits = False
        self.shows: Changes | None = None
        self.takes_s = 0.0
        self.scans = 0
        self.on_scan: Callable[[int], None] = lambda number: None

    async def scan(self, prefix, **options):
        self.scans += 1
        self.on_scan(self.scans - 1)
        await trio.sleep(self.takes_s)
        return await super().scan(prefix, **options)

    async def parts(self, space):
        await trio.sleep(self.takes_s)
        return await super().parts(space)

    async def newest_version(self):
        await trio.sleep(self.takes_s)
        return await super().newest_version()

    async def changes(self, space, *, after):
        await trio.sleep(self.takes_s)
        found = await super().changes(space, after=after)
        if self.lost:
            raise HistoryLostError("dropped")
        if self.shows is not None:
            return self.shows
        return msgspec.structs.replace(found, rows=()) if self.omits else found

    def accept(self, job: str, part: str, listed: tuple[int, ...] = ()) -> None:
        """Stores a job of one item."""
        row = JobRow(
            job=job,
            host=part,
            path="/",
            tokens=(1,),
            accepted_at=0.0,
            due_at=9.0,
            expires_at=9.0,
            listed=listed,
        )
        self.put(f"job/{job}", msgspec.json.encode(row), part=part)

    def put(self, key: str, value: bytes, part: str = "") -> None:
        self.transact_now(Transaction(puts=[Put(key, value)], part=part))

    def delete(self, key: str, part: str = "") -> None:
        self.transact_now(Transaction(deletes=[key], part=part))

    def break_scan(self, number: int) -> None:
        """Lets a scan that is still to come fail, counted from the next one."""
        broken = self.scans + number

        def fail(number: int) -> None:
            if number == broken:
                raise PlatformUnavailableError("away")

        self.on_scan = fail

    def at_scan(self, number: int, call: Callable[[], None]) -> None:
        """Makes a call before a scan that is still to come."""
        wanted = self.scans + number

        def look(number: int) -> None:
            if number == wanted:
                call()

        self.on_scan = look


Event = Callable[[FailingPlatform, JobIndex], Awaitable[None]]
EVENTS: dict[str, Event] = {}
FOLLOWED: dict[str, Callable] = {}


def event(words: str, registry: dict = EVENTS):
    def register(call):
        registry[words] = call
        return call

    return register


async def read_all(index: JobIndex) -> None:
    """Looks when a read of all is due."""
    await trio.sleep(FULL_LOOK_S)
    await look(index)


async def look(index: JobIndex) -> None:
    """Looks once; a look that fails is followed by the next one."""
    with contextlib.suppress(CoppercleatError):
        await index.refresh()


@event("nothing happens")
async def nothing(platform, index):
    return None


@event("a job is accepted while all are read, in a part already read")
async def accepted_behind(platform, index):
    platform.at_scan(2, lambda: platform.accept("new", PARTS[0]))
    await read_all(index)


@event("a job is accepted while all are read, in a part of its own")
async def accepted_aside(platform, index):
    platform.at_scan(1, lambda: platform.accept("new", "c.example"))
    await read_all(index)


@event("a job is accepted here while all are read")
async def accepted_here(platform, index):
    def accept():
        platform.accept("new", PARTS[0])
        ((_, row),) = platform.scan_now(f"{PARTS[0]}\x1fjob/new", after="", limit=1)
        index.observe(stored_job(row))

    platform.at_scan(2, accept)
    await read_all(index)


def stored_job(row):
    return StoredJob(decode_row(row, JobRow), row.version)


@event("the read of all breaks off after the first part")
async def breaks_off(platform, index):
    platform.accept("new", PARTS[1])
    platform.break_scan(2)
    await read_all(index)


@event("the history is lost and the read of all breaks off")
async def lost_and_breaks_off(platform, index):
    platform.accept("new", PARTS[1])
    platform.lost = True
    platform.break_scan(2)
    await look(index)
    platform.lost = False


@event("a job is accepted in a new part while the history is lost")
async def new_part(platform, index):
    platform.accept("new", "c.example")
    platform.lost = True
    await look(index)
    platform.lost = False


@event("a job is accepted and its change omitted")
async def omitted(platform, index):
    platform.accept("new", PARTS[0])
    platform.omits = True
    await look(index)
    platform.omits = False


@event("a job is deleted")
async def deleted(platform, index):
    platform.delete("job/b-1", PARTS[1])


@event("a job is deleted while the history is lost")
async def deleted_unseen(platform, index):
    platform.delete("job/b-1", PARTS[1])
    platform.lost = True
    await look(index)
    platform.lost = False


@event("a job is deleted and its change omitted")
async def deletion_omitted(platform, index):
    platform.delete("job/b-1", PARTS[1])
    platform.omits = True
    await look(index)
    platform.omits = False


@event("a job is deleted while all are read")
async def deleted_behind(platform, index):
    platform.at_scan(2, lambda: platform.delete("job/a-1", PARTS[0]))
    await read_all(index)


@event("the history is lost at each look of 10 s")
async def lost_again(platform, index):
    platform.accept("new", PARTS[0])
    platform.lost = True
    for _ in range(int(10 / LOOK_S)):
        await trio.sleep(LOOK_S)
        await look(index)


@event("a job is deleted and accepted again under its id")
async def accepted_again(platform, index):
    platform.delete("job/b-1", PARTS[1])
    platform.accept("b-1", PARTS[1], listed=(0,))


@event("a job is deleted and accepted again, all of it omitted")
async def accepted_again_unseen(platform, index):
    await accepted_again(platform, index)
    platform.omits = True
    await look(index)
    platform.omits = False


@event("a job is deleted and accepted again while all are read")
async def accepted_again_behind(platform, index):
    def change():
        platform.delete("job/a-1", PARTS[0])
        platform.accept("a-1", PARTS[0], listed=(0,))

    platform.at_scan(2, change)
    await read_all(index)


@event("a late answer shows a job after its deletion")
async def shown_late(platform, index):
    stored = index.get(JobRef(PARTS[1], "b-1"))
    platform.delete("job/b-1", PARTS[1])
    await look(index)
    index.observe(stored)


@event("a job of an id of another host is accepted and deleted")
async def other_host(platform, index):
    platform.accept("a-1", PARTS[1])
    await look(index)
    platform.delete("job/a-1", PARTS[1])


@event("a job of an id of another host is accepted and deleted, this omitted")
async def other_host_unseen(platform, index):
    await other_host(platform, index)
    platform.omits = True
    await read_all(index)
    platform.omits = False


@event("a job of an id of another host is accepted")
async def same_id(platform, index):
    platform.accept("a-1", PARTS[1], listed=(0,))


@event("calls take 0.5 s and all are read")
async def slow(platform, index):
    platform.takes_s = 0.5
    await read_all(index)


LOOKS = {
    "this look": (0, 0.0),
    "the next look": (1, LOOK_S),
    "the look after": (2, LOOK_S),
    "a look 7 s later": (1, FULL_LOOK_S),
    "a look 14 s later": (2, FULL_LOOK_S),
}


@when("jobs are followed and {what}")
def follow_jobs(context, what):
    context.what = what


@when("with {plant} planted jobs are followed and {what}")
def follow_planted(context, plant, what):
    context.what, context.plant = what, plant


def look_on(context, looks):
    """Follows jobs through an event, and looks as often and late as is asked."""
    count, after_s = LOOKS[looks]

    async def run():
        platform = FailingPlatform()
        for part in PARTS:
            for number in range(2):
                platform.accept(f"{part[0]}-{number}", part, listed=(0,))
        index = JobIndex(platform)
        await index.refresh()
        await EVENTS[context.what](platform, index)
        for _ in range(count):
            await trio.sleep(after_s)
            await look(index)
        places = [key.partition("\x1fjob/") for key in platform.rows]
        context.stored = sorted((part, job) for part, _, job in places)
        context.shown = sorted((stored.row.host, stored.row.job) for stored in index)
        context.age_s = trio.current_time() - index.fresh_at
        context.finished = [
            sum(index.finished_tokens(part, "/") for part in PARTS),
            sum(job != "new" for _, job in context.stored),
        ]

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then("{looks} shows just the jobs that are stored")
def shows_stored(context, looks):
    look_on(context, looks)
    assert context.shown == context.stored, (context.shown, context.stored)


@then("the look after does not show just the jobs that are stored")
def shows_other(context):
    with PLANTS[context.plant]():
        look_on(context, "the look after")
    assert context.shown != context.stored, context.shown


@then("only tokens of stored jobs count as finished")
def finished_stored(context):
    counted, stored = context.finished
    assert counted == stored, context.finished


@then("the index is {age:g} s old at most")
def index_fresh(context, age):
    assert context.age_s <= age, context.age_s


# Tables.


async def read(follower: TableFollower, *, full: bool) -> dict:
    try:
        return await follower.read(full=full)
    except CoppercleatError:
        return {}


@event("a full read breaks off after a change", FOLLOWED)
async def table_breaks_off(platform, follower):
    await read(follower, full=False)
    platform.put("t/1", b"new")
    platform.break_scan(0)
    await read(follower, full=True)


@event("the history is lost and the read of all breaks off", FOLLOWED)
async def table_lost(platform, follower):
    await read(follower, full=False)
    platform.put("t/1", b"new")
    platform.lost = True
    platform.break_scan(0)
    await read(follower, full=False)
    platform.lost = False


@event("the first read is a full one, and a change comes after it", FOLLOWED)
async def table_full_first(platform, follower):
    await read(follower, full=True)
    platform.put("t/1", b"new")


@event("the first read is a full one, and a change comes during it", FOLLOWED)
async def table_changed_meanwhile(platform, follower):
    platform.at_scan(0, lambda: platform.put("t/1", b"new"))
    await read(follower, full=True)
    platform.at_scan(0, lambda: platform.put("t/2", b"new"))


@event("a full read comes while the history is lost", FOLLOWED)
async def table_full_lost(platform, follower):
    await read(follower, full=False)
    platform.lost = True
    platform.put("t/1", b"new")
    await read(follower, full=True)
    platform.delete("t/2")
    await read(follower, full=False)
    platform.put("t/0", b"new")
    platform.lost = False


@event("a change older than the last full read is shown after it", FOLLOWED)
async def table_shown_late(platform, follower):
    await read(follower, full=False)
    platform.put("t/1", b"new")
    older = await platform.changes("t", after=3)
    platform.put("t/1", b"newer")
    await read(follower, full=True)
    platform.shows = older


@when("a table of 3 rows is followed and {what}")
def follow_table(context, what):
    async def run():
        platform = FailingPlatform()
        for number in range(3):
            platform.put(f"t/{number}", b"old")

        async def read_all():
            return {k.removeprefix("t/"): r for k, r in await platform.scan("t/")}

        follower = TableFollower(platform, "t", read_all=read_all)
        await FOLLOWED[what](platform, follower)
        context.shown = await follower.read(full=False)
        context.stored = await read_all()

    trio.run(run)


@then("the next read of changes shows what is stored")
def table_shown(context):
    assert context.shown == context.stored, (context.shown, context.stored)
