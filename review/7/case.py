"""A client sends an order in chunks and writes the name of the coding in another way."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins2 import Client, Fleet, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ORDERS = 20
# The same field in HTTP/1.1: the name of a coding has no case, and blanks around a value are
# not part of it (RFC 9112, 7 and 5.1).
USUAL = ["Transfer-Encoding: chunked"]
OTHERS = ["Transfer-Encoding: CHUNKED", "Transfer-Encoding: chunked ",
          "Transfer-Encoding:\tchunked"]


async def play(record, logs):
    fleet = Fleet(record, logs)
    fleet.add_route("place", "orders", kind="unsafe", timeout_s=2.0, target_s=0.6, attempts=2)
    await fleet.publish()
    server = await fleet.add_server("i-0", "orders", slots=4, work_s=0.05)
    instance = await fleet.add_instance()
    try:
        if not await fleet.await_ready():
            record("the instance is not ready")
            return 2
        client = Client(record, "shop.example")
        changed = 0
        for number in range(ORDERS):
            spellings = OTHERS if TROUBLE else USUAL
            field = spellings[number % len(spellings)]
            order = ("order %d: 12 bone bobbins" % number).encode()
            answer = await client.send_chunked(
                instance.address("caller"), "/place/%d" % number, field, order)
            for run in [run for run in server.runs if run.id == answer.id]:
                is_same = run.body == order
                changed += 0 if is_same else 1
                record("%r: %s was sent %r and %s ran it with %r; the client got %s" % (
                    field, answer.id, order, server.name, run.body, answer.status))
        record("UNASKED: %d of %d orders ran with another body than was sent" % (changed, ORDERS))
        return 1 if changed else 0
    finally:
        await fleet.stop()


run_case(FOLDER, play)
