"""A backend server that is cut off from the store leaves and says so in its answers."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins2 import Client, Fleet, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0           # The bound DrainS.
HEARTBEAT_S = 1.5       # HeartbeatS; the store removes an entry after three of them.
SERVES_ON_S = 4.2       # From its first notice to its end: DrainS and a little longer.
NOTICE_AT_S = 4.0
LENGTH_S = 12.0
WORK_S = 0.16
PERIOD_S = 0.025


async def leave(fleet, server, record):
    """The leaving of a server whose way to the store is cut just before."""
    await asyncio.sleep(NOTICE_AT_S)
    if not TROUBLE:
        return
    record("%s is partitioned from the store" % server.name)
    cut_at = record.now()
    await asyncio.sleep(0.2)
    server.is_leaving = True
    record("%s leaves and says so in its answers" % server.name)
    await asyncio.sleep(SERVES_ON_S)
    server.stop()
    record("%s has ended" % server.name)
    await asyncio.sleep(max(0.0, cut_at + 3 * HEARTBEAT_S - record.now()))
    await fleet.store.put("servers", server.name, None)
    record("the store removes the entry of %s" % server.name)


async def play(record, logs):
    fleet = Fleet(record, logs)
    fleet.add_route("place", "orders", kind="unsafe", timeout_s=2.0, target_s=0.6, attempts=2)
    await fleet.publish()
    servers = [await fleet.add_server("i-%d" % n, "orders", slots=2, work_s=WORK_S)
               for n in range(5)]
    for _ in range(2):
        await fleet.add_instance()
    try:
        if not await fleet.await_ready():
            record("the instances are not ready")
            return 2
        client, leaver = Client(record, "shop.example"), servers[0]
        answers, running, told = [], set(), {}

        async def place(address):
            sent_at = record.now()
            answer = await client.send(address, "/place/1", "POST", b"two bobbins", 2.0)
            answer.sent_at, answer.address = sent_at, address
            answers.append(answer)
            if "server-leaving" in answer.fields:
                told.setdefault(address, record.now())

        leaving = asyncio.ensure_future(leave(fleet, leaver, record))
        for step in range(int(LENGTH_S / PERIOD_S)):
            address = fleet.instances[step % len(fleet.instances)].address("caller")
            task = asyncio.ensure_future(place(address))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(leaving, *list(running))
        by_id = {answer.id: answer for answer in answers}
        late = []
        for request in leaver.arrivals:
            answer = by_id[request.id]
            if answer.sent_at > told.get(answer.address, float("inf")) + DRAIN_S:
                late.append(answer)
        started = {request.id for request in leaver.runs}
        lost = [answer for answer in late if answer.id in started and answer.status != 200]
        record("requests %d, answered with success %d" % (
            len(answers), sum(answer.status == 200 for answer in answers)))
        record("DRAIN: %d requests reached %s that were sent more than %.1f s after their instance "
               "had passed on an answer with Server-Leaving; %d of them were begun there and ended "
               "without its answer" % (len(late), leaver.name, DRAIN_S, len(lost)))
        return 1 if late else 0
    finally:
        await fleet.stop()


run_case(FOLDER, play)
