"""Steps for the tool that switches mechanisms off."""

import pathlib
import tempfile

from behave import then, when

from bench.ablation import (
    AS_IS,
    Ablation,
    Play,
    WrongAblationError,
    load,
    switch_off,
    table,
)


@then("every ablation of {path} replaces one text of the sources")
def all_found(context, path):
    for ablation in load(pathlib.Path(path)):
        found = pathlib.Path(ablation.file).read_text().count(ablation.find)
        assert found == 1, (ablation.name, found)


@when("an ablation is made whose text stands {times:d} times")
def made(context, times):
    with tempfile.TemporaryDirectory() as directory:
        target = pathlib.Path(directory)
        (target / "a.py").write_text("X = 1\n" * times + "Y = 2\n")
        ablation = Ablation("x", "no x", "a.py", "X = 1\n", "X = 0\n")
        try:
            switch_off(target, ablation)
            context.made = (target / "a.py").read_text()
        except WrongAblationError:
            context.made = None


@then("the ablation is {taken}")
def taken_as(context, taken):
    expected = "X = 0\nY = 2\n" if taken == "made" else None
    assert context.made == expected, context.made


@then("differences of {differences} over days are judged as {judged}")
def judged_as(context, differences, judged):
    found = [float(d) for d in differences.split(",")]
    plays = [Play(AS_IS, f"d{n}", 0.5, broken=False) for n in range(len(found))]
    plays += [
        Play("off", f"d{n}", 0.5 + difference, broken=False)
        for n, difference in enumerate(found)
    ]
    (line,) = [line for line in table(plays) if line.startswith("| off ")]
    assert line.endswith(f"| {judged} |"), line
