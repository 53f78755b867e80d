"""See claim.txt."""
import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
from serve import TROUBLE, connect, read_all, request, run

CLIENTS = 6
TOKENS = 20

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
  open = true,
}
"""


def main(case):
    servers, writers = [], {}
    for name in ("r1", "r2"):
        servers.append((name, "reader", case.model_server("reader", name).address, "glasgow-dc", "c1"))
    for name in ("w1", "w2", "w3"):
        writers[name] = case.model_server("writer", name)
        servers.append((name, "writer-a", writers[name].address, "glasgow-dc", "c1"))
    address = case.gateway(SETTINGS, servers)

    # Each client asks for an answer in one piece ("stream": false) of 20 tokens, which take 2 s.
    answers = {}

    def ask(name):
        client = connect(address)
        client.sendall(request(f"[ask={name} tokens={TOKENS} pace_ms=100]", stream=False))
        case.note(f"client {name}: sent its request, not streamed")
        answers[name] = read_all(client)
        client.close()

    clients = [threading.Thread(target=ask, args=(f"C{number}",)) for number in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(1)
    if TROUBLE:
        running = [event["server"] for event in case.server_events() if event["event"] == "run"]
        victim = max(writers, key=running.count)
        if not running.count(victim):
            return 2
        case.note(f"model server {victim}: its process is killed, with {running.count(victim)} answers under way")
        writers[victim].kill()
    for client in clients:
        client.join()

    # What a model server made for such a request: t1 t2 ... t20.
    made = "".join(f"t{number} " for number in range(1, TOKENS + 1))
    broken = False
    for name, data in sorted(answers.items()):
        head, _, body = data.partition(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        if status != 200:
            case.note(f"client {name}: status {status}: rejected or aborted, which the rule allows")
            continue
        answer = json.loads(body)
        text, usage = answer["choices"][0]["message"]["content"], answer["usage"]
        whole = text == made
        case.note(f"client {name}: status 200, generated, {'as made' if whole else 'NOT what a model server made'}: "
                  f"{len(text.split())} tokens, {usage['completion_tokens']} by its usage: {text!r}")
        broken = broken or not whole
    case.note("RULE BROKEN: an answer holds what no model server made for it" if broken else "rule held")
    return 1 if broken else 0


run(__file__, main)
