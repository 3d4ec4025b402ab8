"""Messages that wait for a destination go out in one call: its body may not hold more than 64 KiB."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

import bench2
from bench2 import TROUBLE, CannotRun

LIMIT = 64 << 10
MESSAGES = 8
BODY = b"x" * 20000
WAIT_S = 1.5


def body(case):
    shut_until = [0.0]

    def behave(call):
        left = shut_until[0] - time.monotonic()
        if left > 0:
            call.answer("429 Too Many Requests", headers="Retry-After: %.3f\r\n" % left)
        elif call.size > LIMIT:
            call.answer("413 Content Too Large")
        else:
            bench2.Endpoint.run_all(call)

    endpoint = bench2.Endpoint(case.record, "s-00000001", 7, behave)
    agent = bench2.Agent(case.record, [endpoint.entry()])
    extra = {"calls_out": 12, "per_call": [10], "routes_apart": [False]}
    courier = bench2.Courier(case, agent, bench2.settings(extra=extra))
    courier.start()
    if TROUBLE:
        shut_until[0] = time.monotonic() + WAIT_S
        case.record("the destination is above its limit for %.1f s" % WAIT_S)
    taken = []
    for number in range(1 + MESSAGES):
        message_id = bench2.new_id()
        status = case.hand_in(courier, message_id, class_name="once", timeout_ms=20000,
                              body=BODY if number else b"hello")
        if status == 202:
            taken.append((message_id, time.monotonic() + 20))
        time.sleep(0.1)
    if len(taken) < MESSAGES:
        raise CannotRun("only %d messages were taken on" % len(taken))
    time.sleep(WAIT_S + 8)
    never_ran = [(message_id, end) for message_id, end in taken if message_id not in endpoint.ran_ids()]
    for message_id, end in never_ran:
        for at, notice in agent.notice_of(message_id):
            case.record("%s was taken on, never ran and ended %s with %.1f s left" % (
                message_id, notice["status"], end - at))
    for call in endpoint.calls:
        if call.size > LIMIT:
            case.breaks("a call with %d messages has a body of %d bytes; %d of %d messages never ran"
                        % (len(call.ids), call.size, len(never_ran), len(taken)))


bench2.play(os.path.dirname(os.path.abspath(__file__)), body)
