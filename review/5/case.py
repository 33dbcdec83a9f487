"""Case 5: an answer that never ends outlasts the timeout of its route."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from fleet import *

FOLDER = os.path.dirname(os.path.abspath(__file__))
TIMEOUT_S = 4.0    # stock-check of the site: time-out 4 s, deadline 8 s
DEADLINE_S = 8.0
PIECE = b"s" * 8000
COUNT = 24


def check_stock(backend, sock, request):
    """Answers with 80,000 bytes; in trouble, one request in two gets bytes without end."""
    is_endless = TROUBLE and int(request.get(ATTEMPT).split("-")[1]) % 2 == 0
    sock.sendall(answer_head(request))
    pieces = 0
    while is_endless or pieces < 10:
        time.sleep(0.03)
        sock.sendall(b"%x\r\n" % len(PIECE) + PIECE + b"\r\n")
        pieces += 1
    sock.sendall(b"0\r\n\r\n")
    return True


def play(fleet):
    for number in range(8):
        fleet.backend("b%d" % number, "stock", check_stock)
    fleet.configure([route("stock", "/stock/", "safe", "stock", TIMEOUT_S, 1.2)], ["stock"])
    fleet.start(2)
    time.sleep(3.5)  # Over StabilityWindowS
    calls = []
    for number in range(COUNT):
        port = fleet.instances[number % 2].port("CALLER")
        call = Call(port, "GET", "/stock/%d" % number, attempt="stock-%d" % number,
                    deadline_ms=DEADLINE_S * 1000)
        thread = threading.Thread(target=call.run, args=(DEADLINE_S,))
        thread.start()
        calls.append((call, thread))
        time.sleep(0.1)
    for _, thread in calls:
        thread.join()
    long_ones = 0
    unanswered = 0
    for call, _ in calls:
        took = call.ended_at - call.sent_at
        long_ones += took > TIMEOUT_S
        is_late = took > TIMEOUT_S + 0.5
        unanswered += is_late
        fleet.record.add("%s%s" % (call, ": no end 0.5 s after the timeout" if is_late else ""))
    fleet.record.verdict("%d of %d requests lasted longer than TimeoutS; %d of them had no final "
                         "answer 0.5 s after it" % (long_ones, COUNT, unanswered))
    # "Eight or more of them, and over a quarter"
    return unanswered >= 8 and unanswered > long_ones / 4


main(FOLDER, play)
