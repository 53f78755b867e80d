"""Stand-ins for the gateway with the chat API: model servers of docs/engine.md, and clients of docs/chat-api.md."""

import json

import asyncio

from harness import HOST, GATEWAY, LAST_CHUNK, CannotRun, Server, ask, chunk, free_port, read_message, response

EVENT_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class KeyMemory:
    """The idempotency keys that a group of model servers shares, each remembered for `window_s` seconds."""

    def __init__(self, window_s):
        self.window_s = window_s
        self.known = {}

    def find(self, now, key):
        found = self.known.get(key) if key else None
        return found if found and now < found["at"] + self.window_s else None


class Engine(Server):
    """A model server. Tokened work that it starts has its effect at once: one line `execution` in the record.

    A request with a key that the group remembers is not run again. It gets the end of the first request where the
    work is the same, and 422 where it is not, as the published rules for `Idempotency-Key` have it.
    """

    def __init__(self, name, record, keys, answer_s=0.2):
        super().__init__(name, record)
        self.keys = keys
        self.answer_s = answer_s
        # The work that this server has run: its prompt and the text of its answer.
        self.executions = []

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            first, headers, body = message
            body = json.loads(body or b"{}")
            if first.split(" ")[1] == "/v1/kv/release":
                writer.write(response(200, b"{}", ["Content-Type: application/json"]))
            elif (body.get("kv_transfer_params") or {}).get("do_remote_decode"):
                self.prefill(writer, headers)
            else:
                await self.decode(writer, headers, body)
            await writer.drain()

    def prefill(self, writer, headers):
        self.record.write(self.name, f"prefill {headers.get('x-request-id')}")
        params = {"do_remote_prefill": True, "do_remote_decode": False, "remote_engine_id": self.name,
                  "remote_request_id": headers.get("x-request-id"), "remote_host": HOST, "remote_port": self.port}
        usage = {"prompt_tokens": 20, "completion_tokens": 1, "prompt_tokens_details": {"cached_tokens": 0}}
        choice = {"index": 0, "text": "", "finish_reason": "length"}
        answer = {"object": "text_completion", "kv_transfer_params": params, "choices": [choice], "usage": usage}
        writer.write(response(200, json.dumps(answer).encode(), ["Content-Type: application/json"]))

    async def decode(self, writer, headers, body):
        key, now = headers.get("idempotency-key"), self.record.now()
        work = (body["prompt"], body.get("max_tokens"), json.dumps(body.get("stop")), body.get("temperature"))
        first = self.keys.find(now, key)
        if first and first["work"] != work:
            self.record.write(self.name, f"repeat of key {key} with other work -> 422")
            writer.write(response(422, b'{"error":{"code":"repeated"}}', ["Content-Type: application/json"]))
            return
        if first:
            self.record.write(self.name, f"repeat of key {key}: not run, gets the end of the first")
            text = first["text"]
        else:
            number = len(self.executions) + 1
            text = f"entry-{number}-of-{self.name}"
            self.executions.append((body["prompt"], text))
            self.record.write(self.name, f"execution {headers.get('x-request-id')}, key {key}: {text}")
            if key:
                self.keys.known[key] = {"at": now, "work": work, "text": text}
        await asyncio.sleep(self.answer_s)
        choice = {"index": 0, "text": text, "finish_reason": None}
        end = {"index": 0, "text": "", "finish_reason": "stop"}
        usage = {"prompt_tokens": 20, "completion_tokens": 1, "total_tokens": 21}
        events = [{"choices": [choice]}, {"choices": [end]}, {"choices": [], "usage": usage}]
        data = b"".join(b"data: " + json.dumps(event).encode() + b"\n\n" for event in events)
        return self.finish(writer, EVENT_HEAD + chunk(data + b"data: [DONE]\n\n") + LAST_CHUNK)

    def finish(self, writer, answer):
        """Writes a whole answer."""
        writer.write(answer)


SETTINGS = """
{
  name = "%(name)s",
  gateways = %(gateways)d,
  zone = "hall",
  listen.chat = "%(host)s:%(port)d",
  inventory = { file = "%(folder)s/boxes.csv", kept = "%(folder)s/%(name)s-kept.json" },
  kinds = {
    reader = { role = 'reader, memory_tokens = 240000 },
    "writer-a" = { role = 'writer, memory_tokens = 180000 },
  },
  traffic = {
    "result-filing" = {
      models = ["result-filing"], utility = 3, latency_slo = "3s", abandon_time = "15s", max_tokens = 64,
      effect = 'tokened, repeats = { scope = 'all, window = "%(window)s" },
    },
  },
  tenants.north = { keys = ["north-key"], per_second = 20 },
  tenants.south = { keys = ["south-key"], per_second = 20 },
  drain_time = "%(drain)s",
}
"""

# The same deployment, where the work may run again.
REPEATABLE = SETTINGS.replace("effect = 'tokened, repeats = { scope = 'all, window = \"%(window)s\" },", "")


def write_inventory(processes, servers):
    rows = [f"{server.name},{server.address},{kind},hall,c1\n" for server, kind in servers]
    (processes.folder / "boxes.csv").write_text("name,address,kind,zone,cell\n" + "".join(rows), encoding="utf-8")


async def chat_gateway(processes, name, gateways=1, window="30s", drain="20s"):
    """Starts one gateway with the chat API and waits for its ready line. Returns its process and its port."""
    port = free_port()
    values = {"name": name, "gateways": gateways, "host": HOST, "port": port, "folder": processes.folder,
              "window": window, "drain": drain}
    file = processes.folder / f"{name}.ncl"
    file.write_text(SETTINGS % values, encoding="utf-8")
    process = processes.spawn(name, [str(GATEWAY), "serve", str(file)])
    for _ in range(200):
        await asyncio.sleep(0.05)
        if process.poll() is not None:
            raise CannotRun(f"gateway {name} ended at its start: {processes.log(name)}")
        if " ready: chat on " in processes.log(name):
            return process, port
    raise CannotRun(f"gateway {name} was not ready in time")


def chat_request(tenant, text, key=None, **fields):
    body = {"model": "result-filing", "messages": [{"role": "user", "content": text}], **fields}
    body = json.dumps(body).encode()
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: service.internal", f"Authorization: Bearer {tenant}-key"]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def chat(record, port, who, message):
    """Sends one chat request. Returns the status and the decoded body."""
    record.write(who, f"asks port {port}: {message.split(b'Idempotency-Key: ')[1].split()[0].decode() if b'Idempotency-Key' in message else 'no key'}")
    status, body = await ask(port, message)
    body = json.loads(body)
    record.write(who, f"gets {status}: {json.dumps(body)}")
    return status, body


def content(body):
    return body["choices"][0]["message"]["content"]
