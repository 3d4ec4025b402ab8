"""A crowd of peers stops in the middle of a request: does the courier stay alive?"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *  # noqa: E402,F403

PROCESSES, PEERS = 4, 80  # 320 peers: under a third of the 1,024 descriptors
SECONDS = 4


async def main(record):
    endpoint = Endpoint(record, "e1", 7)
    await endpoint.start()
    platform = Platform(record, [endpoint])
    await platform.start()
    courier = Courier(record, platform, memory_mb=192, sockets=1024)
    client = Client(record, courier)
    crowd = []
    try:
        process = courier.start()
        await courier.wait_until_up()
        for count in range(20):
            await client.hand_in("%016x" % count, "safe", 7, 4000)
            await asyncio.sleep(0.05)
        lib = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib", "peers.py")
        for crowd_round in range(3):
            record("crowd %d: %d peers connect, send a message each%s and stay" % (
                crowd_round + 1, PROCESSES * PEERS, " and the first half of the head of another" if TROUBLE else ""))
            crowd = [subprocess.Popen([sys.executable, "-B", lib, str(courier.port), str(PEERS), str(SECONDS),
                                       "1" if TROUBLE else "0"], stdout=subprocess.PIPE, text=True)
                     for _ in range(PROCESSES)]
            end = time.monotonic() + SECONDS + 1
            while time.monotonic() < end and process.poll() is None:
                await client.hand_in("%08x%08x" % (crowd_round + 1, time.monotonic_ns() // 1000 & 0xFFFFFFFF),
                                     "safe", 7, 4000)
                await asyncio.sleep(0.1)
            for peers in crowd:
                try:
                    record((await asyncio.to_thread(peers.communicate, timeout=10))[0].strip())
                except subprocess.TimeoutExpired:
                    pass
            if process.poll() is not None:
                break
        summary = "the courier %s; the other client's answers: %s" % (
            "is alive" if process.poll() is None else "ended with exit status %d" % process.returncode,
            {status: list(client.statuses.values()).count(status) for status in set(client.statuses.values())})
        record(summary)
        print(summary)
        return HELD if process.poll() is None else BROKEN
    finally:
        for peers in crowd:
            if peers.poll() is None:
                peers.kill()
                peers.wait()
        courier.close()


run(main, os.path.dirname(os.path.abspath(__file__)))
