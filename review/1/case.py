"""The process of a courier is replaced while discovery is down: are the messages ended that it goes on taking on?"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *  # noqa: E402,F403

OUTAGE = 8.0  # discovery is down for 8 s
KILL_AFTER = 3.7  # SIGKILL follows SIGTERM by 3.7 s
TIME_MS = 2000
GRACE = 0.5  # up to half a second after its time a final answer only earns nothing
READY_GRACE = 1.5  # no notice is overdue until 1.5 s after the courier is ready


async def main(record):
    endpoint = Endpoint(record, "e1", 7)
    await endpoint.start()
    platform = Platform(record, [endpoint])
    await platform.start()
    courier = Courier(record, platform, shared_listener=True)
    clients = [Client(record, courier) for _ in range(4)]
    stopping = asyncio.Event()

    async def feed(number, client):
        for count in range(10000):
            if stopping.is_set():
                return
            await client.hand_in("%08x%08x" % (number + 1, count), "safe", 7, TIME_MS)
            await asyncio.sleep(0.1)

    try:
        old = courier.start()
        await courier.wait_until_up()
        feeds = [asyncio.create_task(feed(number, client)) for number, client in enumerate(clients)]
        await asyncio.sleep(2)
        down_at = time.monotonic()
        if TROUBLE:
            platform.down = True
            record("discovery is down: the agent is silent, and still answers notices")
        new = courier.start()
        yes_at = None
        while yes_at is None:
            if time.monotonic() > down_at + 6:
                raise CannotRun("the new process did not say yes within 6 s")
            if (await courier.call(new, "HEALTH")).startswith("+OK"):
                yes_at = time.monotonic()
                record("the new process answers HEALTH with yes")
            await asyncio.sleep(0.05)
        courier.signal(old, signal.SIGTERM)
        term_at = time.monotonic()
        answers = []
        while time.monotonic() < term_at + KILL_AFTER:
            answers.append(await courier.call(new, "HEALTH"))
            record("HEALTH of the new process: %s; GET /up: %d" % (answers[-1], await courier.up()))
            await asyncio.sleep(0.2)
        courier.signal(old, signal.SIGKILL)
        await asyncio.sleep(max(0.0, down_at + OUTAGE - time.monotonic()))
        if TROUBLE:
            platform.down = False
            record("discovery is back")
        await asyncio.sleep(4)
        stopping.set()
        await asyncio.gather(*feeds)
        await asyncio.sleep(TIME_MS / 1000 + 1.5)
        if new.poll() is not None:
            raise CannotRun("the new process has ended")
        if not all(answer.startswith("+OK") for answer in answers):
            raise CannotRun("the new process took its yes back")
        taken = lost = 0
        for client in clients:
            for message, (at, seconds) in client.taken.items():
                taken += 1
                ends = [end for end in (endpoint.delivered.get(message), platform.notices.get(message, (None,))[0])
                        if end is not None]
                due = max(at + seconds + GRACE, term_at + READY_GRACE)
                if not ends or min(ends) > due:
                    lost += 1
                    record("LOST %s: taken on %.2f s after SIGTERM, its time was up at %.2f s, it ended at %s"
                           % (message, at - term_at, at + seconds - term_at,
                              "%.2f s" % (min(ends) - term_at) if ends else "no time"))
        unanswered = sum(1 for client in clients for status in client.statuses.values() if status == 0)
        summary = "%d messages taken on, %d of them lost; %d requests without an answer in 400 ms" % (
            taken, lost, unanswered)
        record(summary)
        print(summary)
        return BROKEN if lost else HELD
    finally:
        courier.close()


run(main, os.path.dirname(os.path.abspath(__file__)))
