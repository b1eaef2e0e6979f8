"""What steps share: names by number, acts on processes, and requests."""

import signal

import trio

from coppercleat.rpc import RpcError


def entry(context, number):
    """Returns the name of an instance by its number, from 1."""
    return list(context.fleet.entries)[number - 1]


def engines(context):
    """Returns the names of all engines."""
    return [n["id"] for n in context.fleet.nodes if n["role"] == "engine"]


def act_on_entry(context, number, done):
    """Kills, pauses, resumes, terminates or starts an instance."""
    name = entry(context, number)
    process = context.fleet.processes[name]
    actions = {
        "killed": process.kill,
        "paused": lambda: process.signal(signal.SIGSTOP),
        "resumed": lambda: process.signal(signal.SIGCONT),
        "terminated": lambda: process.signal(signal.SIGTERM),
        "started again": lambda: context.fleet.start_entry(name),
    }
    actions[done]()


class Outcome:
    """How one request ended."""

    def __init__(self, prompt):
        self.prompt = prompt
        self.text = None
        self.error = None

    async def infer(self, client, **body):
        body = {"deployment": "menus", "prompt": self.prompt, "maxTokens": 8} | body
        parts = []
        try:
            async for chunk in client.stream("OnlineService", "InferStream", [body]):
                parts.append(chunk.get("text", ""))
            self.text = "".join(parts)
        except RpcError as error:
            self.error = error

    async def call(self, client, **body):
        try:
            answer = await client.call("OnlineService", "Call", body)
            self.text = answer["body"]
        except RpcError as error:
            self.error = error


def make_requests(context, count, number=1, tokens=8, **body):
    """Makes different requests at once and returns how each ended."""
    outcomes = [
        Outcome(f"swap dish {index} on tray {index * 7}") for index in range(count)
    ]

    async def run():
        async with (
            context.fleet.client(entry(context, number)) as client,
            trio.open_nursery() as nursery,
        ):
            for outcome in outcomes:
                nursery.start_soon(
                    lambda o=outcome: o.infer(client, maxTokens=tokens, **body)
                )

    context.fleet.run(run)
    return outcomes
