"""Steps that search the product's sources."""

import pathlib

from behave import then

SOURCES = pathlib.Path("src/coppercleat")
ADAPTER = SOURCES / "platform"


@then('no source file outside the adapter has "{name}"')
def only_in_adapter(context, name):
    found = [
        str(path)
        for path in SOURCES.rglob("*.py")
        if ADAPTER not in path.parents
        and name.lower() in path.read_text(encoding="utf-8").lower()
    ]
    assert not found, f"{name} stands in {found}"
