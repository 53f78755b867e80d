"""See claim.txt."""
import copy
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
from platform_standins import *

GRACE = 0.25  # rules.drainGrace
DEATH = 2.8  # from the notice to the end of the drained model server
RELOAD = 1.5  # from the notice to the new configuration
BEHIND = 2.0  # from the new configuration until the new address has what the old one told; the pages allow 4 s


def settings():
    new = copy.deepcopy(SETTINGS)
    new["dcs"], new["zone"] = ["paisley-hall", "renfrew-hall", "linwood-hall"], "paisley-hall"
    new["allowed"].update(probes=False, retryAfter=False)
    new["rules"]["drainGrace"] = 250_000_000
    new["specifics"].update(releaseWithin=1_000_000_000, resume=False)
    new["lanes"][0].update(name="rider-trip", aim=2_000_000_000, hardLimit=10_000_000_000, worth=1.0)
    return new


async def main(record, folder):
    ModelServer.zone = "paisley-hall"
    servers = [ModelServer(record, name, role) for name, role in
               (("r1", "read"), ("r2", "read"), ("w1", "write"), ("w2", "write"), ("w3", "write"))]
    for server in servers:
        await server.start()
        server.events, server.pace = 16, 0.05
    ModelServer.fleet = servers
    leaving = servers[2]
    old = await Discovery(record, servers, "old discovery").start()
    new = await Discovery(record, servers, "new discovery").start()
    gateway = Gateway(record, folder, settings(), old)
    await gateway.start()

    results = {}

    async def ask():
        identity = new_id()
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(request(identity, kind="rider-trip", deadline_ms=10_000))
        record.note(f"client: request {identity} sent")
        status, body, whole = await asyncio.wait_for(read_answer(reader), 30)
        writer.close()
        record.note(f"client: request {identity}: status {status}, {len(body)} bytes, {'whole' if whole else 'CUT OFF'}")
        results[identity] = (status, whole)

    asked = []

    async def traffic():
        while True:
            asked.append(asyncio.ensure_future(ask()))
            await asyncio.sleep(0.05)

    clients = asyncio.ensure_future(traffic())
    await asyncio.sleep(2)

    # The list tells the gateway that w1 drains.
    leaving.status = "leaving"
    old.publish("tells that w1 is leaving")
    told = record.now()
    await asyncio.sleep(RELOAD)
    if TROUBLE:
        # A new configuration names another address of discovery, where the list runs some seconds behind.
        gateway.configure(new.address, new.list())
        gateway.signal(signal.SIGHUP)
        asyncio.get_running_loop().call_later(0.1, old.server.close)
        asyncio.get_running_loop().call_later(1.5, lambda: [reset(writer) for writer in list(old.writers)])
        asyncio.get_running_loop().call_later(BEHIND, lambda: new.publish("tells that w1 is leaving"))
    await asyncio.sleep(DEATH - RELOAD)
    leaving.die()
    await asyncio.sleep(4)
    clients.cancel()
    await asyncio.gather(*asked)

    late = [(time, identity) for time, identity in leaving.runs if time > told + GRACE + SLACK]
    lost = [identity for _, identity in late if not results[identity][1]]
    if not [time for time, _ in leaving.runs if time < told]:
        record.note("w1 had no work before it drained: nothing can be judged")
        return 2
    whole = sum(whole for _, whole in results.values())
    record.note(f"{len(results)} requests, {whole} answered whole; sent to w1 later than {GRACE} s after the notice: "
                f"{len(late)}, of these cut off by its end: {len(lost)}")
    if late:
        record.note(f"RULE BROKEN: the last of them {late[-1][0] - told:.3f} s after the notice")
        return 1
    record.note("rule held")
    return 0


run(__file__, main)
