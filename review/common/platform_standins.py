"""Stand-ins of the operators' platform for `petrelshore platform`: model servers, discovery and clients.

They follow the protocol and deployment pages. All of them run in the process of the case, on asyncio; the gateway is a
process of its own.
"""
import asyncio
import json
import os
import pathlib
import re
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SLACK = 0.05  # on sockets every time limit is 50 ms longer

SETTINGS = {
    "allowed": {"cancel": True, "connIdle": 15_000_000_000, "connectTimeout": 250_000_000, "maxAttempts": 4,
                "maxRetryAfter": 2_000_000_000, "mostHeld": 20000, "peers": False, "probes": True, "retryAfter": True,
                "secondCopies": False, "streamsPerConn": 1},
    "balancers": 2, "dcs": ["glasgow-dc"], "kinds": ["reader", "writer-a"], "membershipMode": "pushed", "ordinal": 0,
    "lanes": [{"aim": 1_200_000_000, "dedupScope": "all", "hardLimit": 6_000_000_000, "lateWorth": 0.3,
               "name": "rider-query", "semantics": "free", "streamed": True, "window": 5_000_000_000, "worth": 2.0}],
    "orgs": [], "overShareWorth": 0.1, "report": {"fields": ["inflight", "x0"], "how": "inline"},
    "rules": {"answerSlack": 16_000_000, "askEvery": 10_000_000_000, "cold": 14_000_000_000, "coldFrom": 0.27,
              "drainGrace": 2_000_000_000, "overloadFactor": 2.5, "overloadFor": 1_500_000_000},
    "specifics": {"aimUsPer1000PromptTokens": [40000.0], "crossCellPrice": 0.02, "kindRole": ["read", "write"],
                  "mayReserve": False, "memoryTokens": [202906, 171952], "readInPlace": False,
                  "releaseWithin": 500_000_000, "reportX0": "share of memory that is held", "resume": False,
                  "tokenAim": [60_000_000]},
    "tick": 4_000_000, "weights": "off", "zone": "glasgow-dc",
}


class Record:
    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


async def read_head(reader):
    """Reads a head. Returns its first line and its fields, or None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    fields = {}
    while True:
        header = await reader.readline()
        if not header.endswith(b"\n"):
            return None
        if not header.strip():
            return line.decode().strip(), fields
        name, value = header.decode().split(":", 1)
        fields[name.lower()] = value.strip()


class ModelServer:
    """A reader or writer. `delay` is the time of a read, or to the first token."""

    zone = "glasgow-dc"

    def __init__(self, record, name, role, group=0):
        self.record, self.name, self.role, self.group = record, name, role, group
        self.status, self.since_ms = "active", 0
        self.delay, self.events, self.pace = 0.02, 5, 0.02
        self.runs = []  # (time, id) of each request that has arrived whole
        self.states = {}  # id -> time since when a state waits here
        self.hook = None  # async (server, id, fields, reader, writer) -> True if it has dealt with the request
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def entry(self):
        return {"name": self.name, "address": self.address, "zone": ModelServer.zone,
                "type": "reader" if self.role == "read" else "writer-a", "group": self.group, "status": self.status,
                "weight": 1.0, "since_ms": self.since_ms}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)):
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, path, _ = line.split(" ")
                if path == "/healthz":
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                elif method == "DELETE":
                    self.record.note(f"{self.name}: DELETE {path}")
                    self.released(path.rsplit("/", 1)[1])
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                else:
                    request = fields.get("req-id", "")
                    self.runs.append((self.record.now(), request))
                    self.record.note(f"{self.name}: request {request} arrived, deadline {fields.get('req-deadline-ms')} ms")
                    if self.hook and await self.hook(self, request, fields, reader, writer):
                        return
                    await self.answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    fleet = []  # all servers: a DELETE at any of them lets go of what all of them hold

    def released(self, request):
        for server in ModelServer.fleet or [self]:
            server.states.pop(request, None)

    async def answer(self, request, writer):
        await asyncio.sleep(self.delay)
        if self.role == "read":
            self.states[request] = self.record.now()
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\nSrv-Load: inflight=1,x0=0.1\r\n\r\n{\"cached_tokens\":0}")
            return
        for server in ModelServer.fleet:
            server.states.pop(request, None)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(self.events):
            event(writer, {"choices": [{"index": 0, "delta": {"content": f"{number:04d}"}, "finish_reason": None}]})
            await writer.drain()
            await asyncio.sleep(self.pace)
        event(writer, {"choices": [], "usage": {"prompt_tokens": 100, "completion_tokens": self.events}})
        event(writer, "[DONE]")
        writer.write(b"0\r\n\r\n")
        self.record.note(f"{self.name}: request {request} answered")

    def die(self):
        """As when its process dies: its connections are reset, and new ones are refused."""
        self.record.note(f"{self.name}: dies")
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


def reset(writer):
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def event(writer, value):
    text = f"data: {value if isinstance(value, str) else json.dumps(value)}\n\n".encode()
    writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")


class Discovery:
    """The agent on the gateway's machine."""

    def __init__(self, record, servers, name="discovery"):
        self.record, self.servers, self.name = record, servers, name
        self.index, self.silent, self.delay = 1, False, 0.0
        self.changed = asyncio.Event()
        self.shown = [server.entry() for server in servers]
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def publish(self, note="", index=None):
        """Has the present entries told."""
        self.index = index if index is not None else self.index + 1
        self.shown = [server.entry() for server in self.servers]
        self.record.note(f"{self.name}: index {self.index} {note}")
        self.changed.set()
        self.changed = asyncio.Event()

    def list(self):
        return {"index": self.index, "snapshot": True, "endpoints": self.shown}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)):
                target = head[0].split(" ")[1]
                since = re.search(r"since=(\d+)", target)
                if since and int(since[1]) >= self.index:
                    wait = int(re.search(r"timeout_ms=(\d+)", target)[1]) / 1000
                    try:
                        await asyncio.wait_for(self.changed.wait(), wait)
                    except asyncio.TimeoutError:
                        pass
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.silent:
                    await asyncio.sleep(3600)
                if since and int(since[1]) == self.index:
                    answer = {"index": self.index, "snapshot": False, "endpoints": []}
                else:
                    answer = self.list()
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Gateway:
    started = []

    def __init__(self, record, folder, settings, discovery, sockets=256, memory_mb=64):
        self.record, self.folder = record, folder
        self.settings, self.sockets, self.memory_mb = settings, sockets, memory_mb
        self.port = free_port()
        self.file = folder / "config.json"
        self.configure(discovery.address, discovery.list())

    def configure(self, discovery, known):
        text = json.dumps({"name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": discovery,
                           "seed": "8c1f30d27a5be964",
                           "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                           "known": known, "settings": self.settings})
        new = self.folder / "config.new"
        new.write_text(text)
        os.replace(new, self.file)

    async def start(self, log_filter=None):
        """Starts the deploy file's `run` and waits until the gateway is ready."""
        command = re.search(r'^run = "(.*?)"', (ROOT / "deploy/balancer.toml").read_text(), re.M)[1]
        if log_filter:
            command += f" --log-filter {log_filter}"
        self.log = open(self.folder / "gateway.log", "w")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={**os.environ, "LB_CONFIG": str(self.file), "TMPDIR": str(self.folder)})
        Gateway.started.append(self)
        for _ in range(300):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                answer = await reader.read(100)
                writer.close()
                if b" 200 " in answer:
                    self.record.note("gateway: ready")
                    return
            except OSError:
                pass
            if self.process.returncode is not None:
                raise RuntimeError("the gateway ended at its start")
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateway did not become ready")

    def signal(self, number):
        self.record.note(f"gateway: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


def free_port():
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        return taken.getsockname()[1]


def new_id():
    return secrets.token_hex(8)


def request(identity, kind="rider-query", deadline_ms=6000, max_out=50, close=False, session=None, body=None):
    body = body or json.dumps({"model": "chat", "stream": True, "max_tokens": max_out,
                               "messages": [{"role": "user", "content": "x" * 400}]})
    return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {identity}\r\nReq-Kind: {kind}\r\n"
            f"Req-Key: {session or new_id()}\r\nReq-Deadline-Ms: {deadline_ms}\r\n"
            f"Req-Extra: prompt_len=100,prefix_len=0,max_out={max_out}\r\n"
            + ("Connection: close\r\n" if close else "") +
            f"Content-Length: {len(body)}\r\n\r\n{body}").encode()


async def read_answer(reader):
    """Reads one answer. Returns its status, its body and whether it was whole; status 0 if nothing came."""
    head = await read_head(reader)
    if head is None:
        return 0, b"", False
    status, fields = int(head[0].split(" ")[1]), head[1]
    if "content-length" in fields:
        return status, await reader.readexactly(int(fields["content-length"])), True
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return status, body, True
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, body, False


def run(case, main):
    """Runs `main(record, folder)` and exits with what it returns: 1 broken, 0 held; 2 if it could not run."""
    record = Record(pathlib.Path(case).resolve().parent / "record.txt")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="petrelshore-review-"))
    record.note(f"TROUBLE={os.environ.get('TROUBLE', '1')}")

    async def guarded():
        # The time limit of run.sh ends the case by SIGTERM, and the gateway with it.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await main(record, folder)
        finally:
            for gateway in Gateway.started:
                await gateway.end()

    try:
        status = asyncio.run(guarded())
    except asyncio.CancelledError:
        record.note("the case took too long")
        status = 2
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        status = 2
    log = folder / "gateway.log"
    if log.exists():
        record.file.write("--- the gateway's log\n" + log.read_text(errors="replace").replace(str(folder), "FOLDER")[-20000:])
    shutil.rmtree(folder, ignore_errors=True)
    sys.exit(status)


TROUBLE = os.environ.get("TROUBLE", "1") != "0"
