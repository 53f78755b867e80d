"""Stand-ins for the cases 6 to 10: clients, model servers, the discovery agent, and the start of gateways.

Everything is on loopback, on free ports and on the real clock. Only the standard library is used. A case is an
asynchronous function that is passed to `run_case`; it returns True if the rule was broken and False if it held.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "target" / "release" / "petrelshore"
CASE_SECONDS = 110
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played to its end, so it has no verdict."""


class Record:
    """The file with what was sent, answered and run. Times are seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, who, what):
        self.file.write(f"{self.now():9.4f}  {who:<12} {what}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP message. Returns its first line, its headers by lower-case name and its body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def response(status, body=b"", headers=()):
    reason = {200: "OK", 202: "Accepted", 204: "No Content", 404: "Not Found", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}", *headers]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def event(text):
    choice = {"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": None}]}
    return b"data: " + json.dumps(choice).encode() + b"\n\n"


LAST_EVENTS = (
    b'data: {"choices":[{"index":0,"delta":{"content":""},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":3}}\n\n'
    b"data: [DONE]\n\n"
)


async def until_ended(reader):
    """Returns once the peer has closed the connection or ended its sending."""
    try:
        while await reader.read(4096):
            pass
    except ConnectionError:
        pass


class Server:
    """A listening stand-in. `serve(reader, writer)` handles one connection."""

    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.port = None
        self.server = None

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class ModelServer(Server):
    """A model server of PROTOCOL.md. `read_s` is the time of a read, `gap_s` the time between two events."""

    def __init__(self, name, record, role, read_s=0.05, first_s=0.05, gap_s=0.05, events=3):
        super().__init__(name, record)
        self.role = role
        self.read_s, self.first_s, self.gap_s, self.events = read_s, first_s, gap_s, events
        # One entry for each attempt: the time at which its last byte arrived, and its request id.
        self.attempts = []

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            first, headers, _ = message
            method, path, _ = first.split(" ", 2)
            if method == "DELETE":
                self.record.write(self.name, f"{method} {path} -> 204")
                writer.write(response(204))
            elif path == "/healthz":
                writer.write(response(200))
            else:
                self.attempts.append((self.record.now(), headers.get("req-id")))
                deadline = headers.get("req-deadline-ms")
                self.record.write(self.name, f"attempt {headers.get('req-id')} arrived, deadline {deadline} ms")
                if not await self.answer(headers, reader, writer):
                    return
            await writer.drain()

    async def answer(self, headers, reader, writer):
        """Answers an attempt. Returns False if the connection has no further use."""
        if self.role == "read":
            await asyncio.sleep(self.read_s)
            self.record.write(self.name, f"attempt {headers.get('req-id')} -> 202")
            writer.write(response(202, b'{"cached_tokens":0}'))
            return True
        await asyncio.sleep(self.first_s)
        self.record.write(self.name, f"attempt {headers.get('req-id')} -> 200, stream begins")
        writer.write(STREAM_HEAD)
        for number in range(self.events):
            writer.write(chunk(event(f"{headers.get('req-id')}-{number} ")))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(chunk(LAST_EVENTS) + LAST_CHUNK)
        return True


class Agent(Server):
    """The discovery agent: whole lists, and watches that wait for a change."""

    def __init__(self, record, entries):
        super().__init__("agent", record)
        self.entries = entries
        self.index = 1
        self.changes = []
        self.changed = asyncio.Condition()

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": self.entries}

    async def change(self, name, **fields):
        async with self.changed:
            entry = next(entry for entry in self.entries if entry["name"] == name)
            entry.update(fields)
            self.index += 1
            self.changes.append((self.index, dict(entry)))
            self.record.write(self.name, f"index {self.index}: {name} {fields}")
            self.changed.notify_all()

    async def before_answer(self, query):
        """Called before an answer is written."""

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            target = message[0].split(" ")[1]
            query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
            answer = await self.answer(query)
            await self.before_answer(query)
            writer.write(response(200, json.dumps(answer).encode(), ["Content-Type: application/json"]))
            await writer.drain()

    async def answer(self, query):
        if "since" not in query:
            return self.whole()
        since, wait = int(query["since"]), min(int(query.get("timeout_ms", 0)), 60000) / 1000
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.index > since), wait)
            except asyncio.TimeoutError:
                pass
            changed = [entry for index, entry in self.changes if index > since]
            return {"index": self.index, "snapshot": False, "endpoints": changed}


def entry(name, address, kind, zone="hall", group=0, status="active", since_ms=0):
    return {"name": name, "address": address, "zone": zone, "type": kind, "group": group, "status": status,
            "weight": 1.0, "since_ms": since_ms}


def settings(**changes):
    """The settings of a small deployment. Its figures are those of clyde-assist."""
    lane = {"aim": 1200000000, "dedupScope": "all", "hardLimit": 6000000000, "lateWorth": 0.3, "name": "chat",
            "semantics": "free", "streamed": True, "window": 5000000000, "worth": 2.0}
    base = {
        "allowed": {"cancel": True, "connIdle": 15000000000, "connectTimeout": 250000000, "maxAttempts": 4,
                    "maxRetryAfter": 2000000000, "mostHeld": 20000, "peers": False, "probes": True,
                    "retryAfter": False, "secondCopies": True, "streamsPerConn": 100},
        "balancers": 2, "dcs": ["hall"], "kinds": ["reader", "writer"], "lanes": [lane],
        "layers": ["assist-fleet"], "membershipMode": "pushed", "ordinal": 0, "orgs": [], "overShareWorth": 0.1,
        "report": {"fields": ["inflight", "x0"], "how": "inline"},
        "rules": {"answerSlack": 16000000, "askEvery": 10000000000, "cold": 14000000000, "coldFrom": 0.27,
                  "drainGrace": 2000000000, "overloadFactor": 2.5, "overloadFor": 1500000000},
        "specifics": {"aimUsPer1000PromptTokens": [40000.0], "kindRole": ["read", "write"],
                      "mayReserve": True, "memoryTokens": [202906, 171952], "readInPlace": False,
                      "releaseWithin": 500000000, "reportX0": "share of memory that is held",
                      "reportX1": "thousands of prompt tokens waiting to be read or fetched", "resume": True,
                      "tokenAim": [60000000]},
        "tick": 4000000, "weights": "off", "workload": "twostage", "worthBy": "work", "zone": "hall",
    }
    for name, value in changes.items():
        if isinstance(value, dict):
            base[name].update(value)
        else:
            base[name] = value
    return base


class Processes:
    """The processes that a case has started, so that all of them end with it."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.started = []

    def spawn(self, name, arguments, **environment):
        if not pathlib.Path(arguments[0]).exists():
            raise CannotRun(f"{arguments[0]} is not built")
        log = open(self.folder / f"{name}.log", "w", encoding="utf-8")
        process = subprocess.Popen(arguments, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                   env={**os.environ, "TMPDIR": str(self.folder), **environment})
        self.started.append(process)
        self.record.write("case", f"started {name}, process {process.pid}")
        return process

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    async def gateway(self, agent, entries, name="n0", memory_mb=128, sockets=768, **changes):
        """Starts one gateway on the platform, with the command of the deploy file, and waits until it is ready."""
        port = free_port()
        config = {
            "name": name, "listen": f"{HOST}:{port}", "discovery": agent.address, "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"index": 1, "snapshot": True, "endpoints": entries}, "settings": settings(**changes),
        }
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(config), encoding="utf-8")
        process = self.spawn(name, [str(GATEWAY), "platform"], LB_CONFIG=str(file))
        for _ in range(100):
            await asyncio.sleep(0.05)
            if process.poll() is not None:
                raise CannotRun(f"gateway {name} ended at its start: {self.log(name)}")
            try:
                status, _ = await ask(port, b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n")
            except (OSError, asyncio.TimeoutError):
                continue
            if status == 200:
                self.record.write("case", f"gateway {name} is ready")
                return Gateway(process, port, file, config)
        raise CannotRun(f"gateway {name} was not ready in time")

    def end_all(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


class Gateway:
    def __init__(self, process, port, file, config):
        self.process, self.port, self.file, self.config = process, port, file, config

    def reload(self, **fields):
        self.config.update(fields)
        new = self.file.with_suffix(".new")
        new.write_text(json.dumps(self.config), encoding="utf-8")
        new.rename(self.file)
        self.process.send_signal(signal.SIGHUP)


def request(identity, deadline_ms=5000, kind="chat", body=None, prompt_len=1000, max_out=50):
    """One request of a client, in the form of PROTOCOL.md."""
    body = body or b'{"model":"chat","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"why?"}]}'
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {identity}\r\nReq-Kind: {kind}\r\n"
        f"Req-Key: {os.urandom(8).hex()}\r\nReq-Deadline-Ms: {deadline_ms}\r\n"
        f"Req-Extra: prompt_len={prompt_len},prefix_len=0,max_out={max_out}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_response(reader):
    """Reads one response. Returns its status, its body and whether the body is whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split(" ", 2)[1])
    headers = dict((name.strip().lower(), value.strip()) for name, _, value in
                   (line.partition(":") for line in head.split("\r\n")[1:]))
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return status, await reader.readexactly(int(headers.get("content-length", 0))), True
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return status, body, True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, body, False


async def ask(port, message, timeout=20):
    """Sends one request on a new connection. Returns the status and the body."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port), timeout)
    try:
        writer.write(message)
        status, body, _ = await asyncio.wait_for(read_response(reader), timeout)
        return status, body
    finally:
        writer.close()


def identity():
    return os.urandom(8).hex()


def ended_early(number, _):
    raise CannotRun(f"ended by signal {number}")


def run_case(play):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, ended_early)
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    record.write("case", f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        processes = Processes(record, pathlib.Path(temporary))
        try:
            loop = asyncio.new_event_loop()
            broken = loop.run_until_complete(asyncio.wait_for(play(record, processes), CASE_SECONDS))
            verdict = (1, "the rule was broken") if broken else (0, "the rule held")
        except (CannotRun, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            verdict = (2, f"the case could not run: {type(error).__name__}: {error}")
        finally:
            if os.environ.get("LOGS"):
                for process_log in pathlib.Path(temporary).glob("*.log"):
                    print(process_log.read_text(encoding="utf-8", errors="replace"), file=sys.stderr)
            processes.end_all()
        record.write("case", f"exit {verdict[0]}: {verdict[1]}")
    print(f"{folder.name}: {verdict[1]}", flush=True)
    # Ends at once: what is still pending in the stand-ins belongs to connections of processes that have ended.
    os._exit(verdict[0])
