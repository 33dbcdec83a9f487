"""A backend server answers in chunks and writes the name of the coding in another way."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins2 import Client, Fleet, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VIEWS = 20
# The same field in HTTP/1.1: the name of a coding has no case, and blanks around a value are
# not part of it (RFC 9112, 7 and 5.1).
USUAL = ["Transfer-Encoding: chunked"]
OTHERS = ["Transfer-Encoding: CHUNKED", "Transfer-Encoding: chunked ",
          "Transfer-Encoding:\tchunked"]


async def play(record, logs):
    fleet = Fleet(record, logs)
    fleet.add_route("view", "catalogue", kind="safe", timeout_s=2.0, target_s=0.6, attempts=2)
    await fleet.publish()
    server = await fleet.add_server("i-0", "catalogue", slots=4, work_s=0.05)
    instance = await fleet.add_instance()
    sent = {}

    async def answer_in_chunks(server, request, writer):
        spellings = OTHERS if TROUBLE else USUAL
        field = spellings[len(sent) % len(spellings)]
        body = server.body_for(request)
        sent[request.id] = (field, body)
        head = "HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % f for f in server.fields(request))
        head += "X-Quetzaldale-Response-Seal: %s\r\n%s\r\n\r\n" % (server.seal(request.id), field)
        writer.write(head.encode() + b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n")
        await writer.drain()
        return True

    server.hook = answer_in_chunks
    try:
        if not await fleet.await_ready():
            record("the instance is not ready")
            return 2
        client = Client(record, "shop.example")
        wrong = 0
        for number in range(VIEWS):
            answer = await client.send(instance.address("caller"), "/view/%d" % number)
            if answer.id not in sent:
                continue
            field, body = sent[answer.id]
            is_wrong = 200 <= answer.status < 300 and answer.body != body
            wrong += 1 if is_wrong else 0
            record("%r: %s answered %s with %r; the client got %s, seal %s, and %r" % (
                field, server.name, answer.id, body, answer.status,
                answer.fields.get("x-quetzaldale-response-seal"), answer.body))
        record("MIXED: %d of %d clients got a success without the backend's whole body"
               % (wrong, VIEWS))
        return 1 if wrong else 0
    finally:
        await fleet.stop()


run_case(FOLDER, play)
