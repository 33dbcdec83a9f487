"""Case 4: a stopping process accepts requests late and then ends without answering them."""
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet import *

FOLDER = os.path.dirname(os.path.abspath(__file__))
GRACE_S = 6.0
STABILITY_S = 3.0
# pattern-lookup of the site: 620 ms on average, 3,800 ms at most; time-out 6 s, deadline 12 s.
USUAL_WORK_S = (0.45, 0.8)
LONG_WORK_S = 2.8


def look_up(backend, sock, request):
    time.sleep(LONG_WORK_S if "/long/" in request.target else random.uniform(*USUAL_WORK_S))
    backend.record.add("backend %s has finished %s" % (backend.name, request.get(ATTEMPT)))
    return send_whole(sock, request, b"pattern " + request.get(ATTEMPT).encode())


class Addresses:
    """Asks the directories as a client does and keeps the last answer while there is none."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.known = []
        self.time_to_live = 0
        self.asked_at = -100

    def pick(self):
        if now() - self.asked_at > self.time_to_live:
            self.refresh()
        return random.choice(self.known)

    def refresh(self):
        self.asked_at = now()
        for instance in random.sample(self.fleet.instances, len(self.fleet.instances)):
            try:
                call = Call(instance.port("DIRECTORY"), "GET",
                            "/v1/resolve?Name=%s&Region=r&Zone=a" % HOST, attempt=None).run(1)
            except OSError as problem:
                self.fleet.record.add("directory of %s: %s" % (instance.name, problem))
                continue
            self.fleet.record.add("directory of %s: %s %s" % (instance.name, call.status,
                                                              call.body.decode().strip()))
            if call.status == 200:
                answer = json.loads(call.body)
                self.known = [int(text.split(":")[1]) for text in answer["Addresses"]]
                self.time_to_live = answer["TtlS"]
                return


def play(fleet):
    for number in range(8):
        fleet.backend("b%d" % number, "patterns", look_up)
    fleet.configure([route("pattern", "/pattern/", "safe", "patterns", 6, 4)], ["patterns"])
    fleet.start(1)
    time.sleep(STABILITY_S + 0.5)
    addresses = Addresses(fleet)
    calls = []
    threads = []

    def send(target, name):
        call = Call(addresses.pick(), "GET", target, attempt=name, deadline_ms=12000)

        def run():
            try:
                call.run(12)
            except OSError as problem:
                call.end = "no connection: %s" % problem
                call.sent_at = None
        threads.append(threading.Thread(target=run))
        threads[-1].start()
        calls.append(call)

    for number in range(50):
        send("/pattern/usual/%d" % number, "calm-%d" % number)
        time.sleep(0.2)
    for thread in threads:
        thread.join()
    del calls[:]
    addresses.refresh()
    stopped = now()
    if TROUBLE:
        for instance in fleet.instances:
            instance.process.send_signal(signal.SIGTERM)
        fleet.record.add("SIGTERM to the instance")
    for number in range(24):
        at = 2.4 + number * 0.05
        time.sleep(max(0, stopped + at - now()))
        send("/pattern/long/%d" % number, "stop-%d" % number)
    for thread in threads:
        thread.join()
    lost = 0
    for call in calls:
        if call.sent_at is None:
            fleet.record.add(str(call))
            continue
        sent = call.sent_at - stopped
        is_lost = call.status is None and call.end not in ("complete", "the client gave up")
        # Sent later than 3 s after the SIGTERM: a backend still at work is no excuse.
        counts = is_lost and sent > 3.05 and call.ended_at < stopped + GRACE_S + 1
        lost += counts
        fleet.record.add("%s, sent %.3f s and ended %.3f s after SIGTERM%s"
                         % (call, sent, call.ended_at - stopped, ": LOST" if counts else ""))
    fleet.record.verdict("%d requests were read later than 3 s after SIGTERM and got no answer"
                         % lost)
    return lost > 0


main(FOLDER, play)
