"""Steps for copies of an item's progress at owners of its job and in the store."""

import re
from types import SimpleNamespace

from behave import then, when

from coppercleat.ids import JobId, SoftwareVersion
from coppercleat.jobs import ItemSpec, JobRow, JobRun, JobWorker, StoredJob
from coppercleat.jobs._records import CheckpointRow
from coppercleat.serving import EVENT_STREAM, Generation, ItemEvents, StreamOrigin
from tests.harness._progress_play import ProgressPlay
from tests.harness._spoiled_answers import ANSWERED

ROW = JobRow(
    job=JobId("job"),
    host="jobs.example",
    path="/",
    tokens=(20,),
    accepted_at=0.0,
    due_at=60.0,
    expires_at=60.0,
)
SPEC = ItemSpec("item", "/", [], b"", 20)
OWNERSHIP = 5
_COPY = re.compile(r"(?:run )?(\d|an unknown version) (at|complete with) (\d)")


def copy_of(words):
    """Returns progress in words as a previous owner hands it over."""
    run, kind, count = _COPY.fullmatch(words).groups()
    known = run.isdigit()
    return ItemEvents(
        index=0,
        last_event=int(count),
        events=[f"{run} {n}".encode() for n in range(int(count))],
        failures=0,
        complete=kind != "at",
        origin=StreamOrigin("menus", SoftwareVersion(f"v{run}")) if known else None,
        generation=Generation(OWNERSHIP, int(run)) if known else Generation(),
    )


def load(words):
    checkpoints = {}
    if words != "nothing":
        stored = copy_of(words)
        checkpoints[0] = CheckpointRow(
            last_event=stored.last_event,
            events=stored.events,
            origin=stored.origin,
            generation=stored.generation,
        )
    return JobRun(StoredJob(ROW, OWNERSHIP + 1), [SPEC], checkpoints)


@when("a new owner loads an item with {stored} and is handed {handed}")
def new_owner(context, stored, handed):
    context.run = load(stored)
    for words in handed.split(", "):
        context.run.apply_handover([copy_of(words)])


@when("a new owner receives {handed}")
def worker_receives(context, handed):
    run = load("run 1 at 7")
    ref = run.stored.ref
    worker = SimpleNamespace(_active={ref}, runs={}, _handovers={})
    for words in handed.split(", "):
        JobWorker.receive_handover(worker, ref, [copy_of(words)])
    JobWorker._apply_handover(worker, run)
    context.run = run


@then("the item is left with {left}")
def item_left(context, left):
    run = context.run
    if run.finished:
        (done,) = run.finished
        lines = done.text.split(b"\n") if done.text else []
        found = f"complete {len(lines)}"
        assert not run.pending, run.pending
    else:
        (item,) = run.pending
        name = f"run {item.origin.version[1:]}" if item.origin else "unknown"
        assert item.last_event == len(item.events), item
        found = f"{name} at {len(item.events)}"
    assert found == left, found


@when("courses of progress with seeds {first:d} to {last:d} are played")
def play_courses(context, first, last):
    context.broken = {}
    for seed in range(first, last + 1):
        play = ProgressPlay(seed)
        play.play()
        if play.problems:
            context.broken[seed] = play.problems


@then("each listed text is the whole output of one service and version")
def whole_outputs(context):
    seeds = list(context.broken)
    assert not seeds, f"{len(seeds)} seeds, {seeds[:8]}: {context.broken[seeds[0]]}"


@when(
    "an item begins again after {count:d} events, and after {first:d} more its "
    "checkpoint is stored"
)
def begins_again(context, count, first):
    run = JobRun(StoredJob(ROW, OWNERSHIP), [SPEC], {})
    (item,) = run.pending
    old, new = (StreamOrigin(name, SoftwareVersion("v1")) for name in ("a", "b"))

    def receive(number, origin):
        item.record_event(number, b"w", media_type=EVENT_STREAM, origin=origin)

    for number in range(1, count + 1):
        receive(number, old)
    stored = run.new_checkpoints(20)
    item.begin_again()
    for number in range(1, first + 1):
        receive(number, new)
    run.record_checkpoints(stored)
    for number in range(first + 1, 21):
        receive(number, new)
    context.run = run


@then("it gets a checkpoint after {count:d} events of the new run")
def gets_checkpoint(context, count):
    checkpoints = context.run.new_checkpoints(count)
    assert [len(c.events) for c in checkpoints.values()] == [count], checkpoints


@when("{what} get answers with one spoiled byte, seeds {first:d} to {last:d}")
def spoiled_answers(context, what, first, last):
    context.wrong = {}
    for seed in range(first, last + 1):
        if wrong := ANSWERED[what](seed):
            context.wrong[seed] = wrong


@then("each whole output is the one that a sound upstream writes")
def sound_outputs(context):
    assert not context.wrong, (len(context.wrong), list(context.wrong.items())[:4])
