"""One client sends many messages at once and reads the answers afterwards: does the courier stay alive?"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *  # noqa: E402,F403

MEGABYTES = 60
SECONDS = 60


async def main(record):
    endpoint = Endpoint(record, "e1", 7)
    await endpoint.start()
    platform = Platform(record, [endpoint])
    await platform.start()
    courier = Courier(record, platform, memory_mb=192, sockets=1024)
    client = Client(record, courier)
    peer = None
    try:
        process = courier.start()
        await courier.wait_until_up()
        for count in range(20):
            await client.hand_in("%016x" % count, "safe", 7, 4000)
            await asyncio.sleep(0.05)
        lib = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib", "pipeline.py")
        record("another client sends %d MB of messages at once and reads the answers %s" % (
            MEGABYTES, "once all is written" if TROUBLE else "meanwhile"))
        peer = subprocess.Popen([sys.executable, "-B", lib, str(courier.port), str(MEGABYTES), str(SECONDS),
                                 "0" if TROUBLE else "1"], stdout=subprocess.PIPE, text=True)
        end = time.monotonic() + SECONDS + 5
        while time.monotonic() < end and process.poll() is None and peer.poll() is None:
            await client.hand_in("%016x" % (time.monotonic_ns() // 1000), "safe", 7, 4000)
            await asyncio.sleep(0.25)
        record((await asyncio.to_thread(peer.communicate, timeout=10))[0].strip())
        await asyncio.sleep(0.5)
        summary = "the courier %s; the small client's answers: %s" % (
            "is alive" if process.poll() is None else "ended with exit status %d" % process.returncode,
            {status: list(client.statuses.values()).count(status) for status in set(client.statuses.values())})
        record(summary)
        print(summary)
        return HELD if process.poll() is None else BROKEN
    finally:
        if peer is not None and peer.poll() is None:
            peer.kill()
            peer.wait()
        courier.close()


run(main, os.path.dirname(os.path.abspath(__file__)))
