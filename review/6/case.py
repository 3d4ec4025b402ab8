"""New configurations in quick succession: the courier has to end up at the address of the last one."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

import bench2
from bench2 import TROUBLE, CannotRun

# How long after the first signal the second configuration is in place and told, for each courier of the fleet.
GAPS_MS = [0.3, 0.6, 1.0, 1.5, 2.0, 2.5]
ROUNDS = 3
# What discovery has to tell counts as told 4 s after the signal.
TOLD_S = 4.0
TIMEOUT_MS = 1500
# 300 ms after its time is up, and every time limit is 50 ms longer. Judged later still, at 3 s.
JUDGED_S = 3.0


def reload(case, courier, agents):
    """Replaces the configuration and sends SIGHUP, for each of the agents in turn."""
    texts = []
    for agent in agents:
        courier.content["discovery"] = "127.0.0.1:%d" % agent.port
        path = "%s.%d" % (courier.config, agent.port)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(courier.content, file)
        texts.append(path)
    old = [courier.agent] + agents[:-1]
    for index, path in enumerate(texts):
        if index > 0:
            time.sleep(courier.gap_ms / 1000)
        os.replace(path, courier.config)
        courier.process.send_signal(1)
        case.record("SIGHUP to %s: discovery is at port %d" % (courier.name, agents[index].port))
    for agent in old:
        agent.retire()
    courier.agent = agents[-1]


def body(case):
    record = case.record
    ready = bench2.Endpoint(record, "s-00000001", 7)
    draining = bench2.Endpoint(record, "s-00000002", 8)
    others = [dict(ready.entry(), host="s-%08x" % (100 + n), block=100 + n) for n in range(50)]
    hosts = [ready.entry(), draining.entry("Terminating")] + others
    couriers = []
    for number, gap_ms in enumerate(GAPS_MS):
        agent = bench2.Agent(record, hosts)
        courier = bench2.Courier(case, agent, bench2.settings(balancers=len(GAPS_MS)), name="n%d" % number)
        courier.gap_ms = gap_ms
        courier.agents = [agent]
        courier.start()
        couriers.append(courier)
    time.sleep(1.5)
    for round_number in range(ROUNDS):
        for courier in couriers:
            fresh = [bench2.Agent(record, hosts) for _ in range(2 if TROUBLE else 1)]
            courier.agents += fresh
            reload(case, courier, fresh)
        time.sleep(TOLD_S + 0.5)
        # Its only endpoint drains, so the message cannot be delivered: a notice has to end it.
        sent = []
        for courier in couriers:
            message_id = bench2.new_id()
            at = time.monotonic()
            if case.hand_in(courier, message_id, dest=8, timeout_ms=TIMEOUT_MS) != 202:
                raise CannotRun("the message was not taken on")
            sent.append((courier, message_id, at))
        time.sleep(TIMEOUT_MS / 1000 + JUDGED_S)
        for courier, message_id, at in sent:
            notices = [notice for agent in courier.agents for notice in agent.notice_of(message_id)]
            if notices:
                record("%s: notice of %s after %.3f s" % (courier.name, message_id, notices[0][0] - at))
            else:
                case.breaks("%s has no notice %.1f s after its time is up: courier %s, told of two configurations "
                            "%.1f ms apart" % (message_id, JUDGED_S, courier.name, courier.gap_ms))
        if case.broken:
            return


bench2.play(os.path.dirname(os.path.abspath(__file__)), body)
