"""See claim.txt."""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
from serve import TROUBLE, connect, final_answer, read_all, request, run

PAUSE = 4.0  # seconds in which client A takes nothing; docs/gateway.md allows 10 s

SETTINGS = """{
  name = "gw-1", zone = "glasgow-dc", listen.chat = "127.0.0.1:0",
  inventory = { file = "boxes.csv", kept = "last-list.json" },
  kinds = {
    reader = { role = 'reader, memory_tokens = 240000 },
    "writer-a" = { role = 'writer, memory_tokens = 180000 },
  },
  traffic = {
    "rider-query" = { models = ["rider-query"], utility = 2, latency_slo = "1s", abandon_time = "6s" },
  },
  tenants.riders = { keys = ["rider-key"], per_second = 20 },
  tenants.depots = { keys = ["depot-key"], per_second = 20 },
}
"""


def main(case):
    servers = []
    for kind, role, name in (("reader", "reader", "r1"), ("writer-a", "writer", "w1"), ("writer-a", "writer", "w2")):
        servers.append((name, kind, case.model_server(role, name).address, "glasgow-dc", "c1"))
    address = case.gateway(SETTINGS, servers)

    # 1. Client A has an answer of about 220 KB generated, with an idempotency key.
    question = "[ask=A tokens=220 bytes=1000 pace_ms=2]"
    client = connect(address)
    client.sendall(request(question, "rider-key", "trip-7"))
    case.note("client A: sent its request with the Idempotency-Key trip-7")
    first = final_answer(case, "client A", read_all(client))
    client.close()
    if first != "generated":
        return 2

    # 2. Client A repeats it, and gets the same answer again. With trouble it reads that slowly.
    client = connect(address, slow_link=TROUBLE)
    client.sendall(request(question, "rider-key", "trip-7"))
    case.note("client A: repeated its request with the same key" + (" over a slow link" if TROUBLE else ""))
    answers = {}

    def read_again():
        head = client.recv(1024)
        if TROUBLE:
            time.sleep(PAUSE)
            case.note(f"client A: reads on after {PAUSE} s")
        answers["A"] = head + read_all(client)
        case.note("client A: has read its answer to the end")
        client.close()

    reader = threading.Thread(target=read_again)
    reader.start()
    time.sleep(1)

    # 3. Client B, of another tenant, asks something of its own: 80 tokens in 8 s.
    other = connect(address)
    other.sendall(request("[ask=B tokens=80 pace_ms=100]", "depot-key"))
    case.note("client B: sent its request, without a key")
    answers["B"] = read_all(other)
    case.note("client B: its response ended")
    reader.join()
    if final_answer(case, "client A, repeated", answers["A"]) != "generated":
        return 2
    if final_answer(case, "client B", answers["B"]) is None:
        case.note("RULE BROKEN: the sequence of client B was taken and has no final answer")
        return 1
    case.note("rule held")
    return 0


run(__file__, main)
