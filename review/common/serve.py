"""What the cases of `petrelshore serve` share: its processes, clients, the record."""
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    """One run. Its folder is temporary, and all processes that it starts end with it."""

    def __init__(self, file):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="petrelshore-review-"))
        self.file = open(pathlib.Path(file).resolve().parent / "record.txt", "w", buffering=1)
        self.started = time.time()
        self.processes = []

    def note(self, text):
        self.file.write(f"{time.time() - self.started:7.3f} {text}\n")

    def start(self, arguments, **options):
        process = subprocess.Popen(arguments, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True, **options)
        self.processes.append(process)
        return process

    def model_server(self, role, name, *options):
        """Starts a stand-in of a model server. Returns its process, with its address in `.address`."""
        process = self.start([sys.executable, str(ROOT / "review/common/engine.py"), role, name,
                              str(self.folder / "servers.txt"), *options])
        process.address = process.stdout.readline().strip()
        return process

    def gateway(self, settings, servers):
        """Starts `petrelshore serve`. `servers` are rows of name, kind, address, zone, cell. Returns its address."""
        rows = "".join(",".join(row) + "\n" for row in servers)
        (self.folder / "boxes.csv").write_text("name,kind,address,zone,cell\n" + rows)
        (self.folder / "gateway.ncl").write_text(settings)
        log = open(self.folder / "gateway.log", "w")
        self.gateway_process = self.start(
            [str(ROOT / "target/release/petrelshore"), "serve", str(self.folder / "gateway.ncl")], stderr=log)
        ready = self.gateway_process.stdout.readline()
        found = re.search(r"chat on (127\.0\.0\.1):(\d+)", ready)
        if not found:
            raise RuntimeError(f"the gateway did not start: {ready!r}")
        self.note(f"gateway: {ready.strip()}; TROUBLE={int(TROUBLE)}")
        return found[1], int(found[2])

    def server_events(self):
        file = self.folder / "servers.txt"
        return [json.loads(line) for line in file.read_text().splitlines()] if file.exists() else []

    def end(self):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for name in ("servers.txt", "gateway.log"):
            if (self.folder / name).exists():
                text = (self.folder / name).read_text(errors="replace").replace(str(self.folder), "FOLDER")
                self.file.write(f"--- {name}\n" + text)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(file, main):
    """Runs `main(case)`, which returns 1 if the rule was broken and 0 if it held; 2 if the case could not run."""
    def stopped(*_):
        raise RuntimeError("stopped: the case took too long")
    signal.signal(signal.SIGTERM, stopped)
    case = Case(file)
    try:
        status = main(case)
    except Exception as error:
        case.note(f"the case could not run: {error!r}")
        status = 2
    finally:
        case.end()
    sys.exit(status)


def request(text, key=None, idempotency_key=None, stream=True, model="rider-query", **fields):
    body = json.dumps({"model": model, "stream": stream, "messages": [{"role": "user", "content": text}], **fields})
    head = f"Authorization: Bearer {key}\r\n" if key else ""
    head += f"Idempotency-Key: {idempotency_key}\r\n" if idempotency_key else ""
    return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: gateway\r\n{head}Connection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode()


def connect(address, slow_link=False):
    client = socket.socket()
    client.settimeout(40)
    if slow_link:
        # A small receive buffer and the segment size of an ordinary network, as behind a slow link.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    client.connect(address)
    return client


def read_all(client):
    data = b""
    try:
        while (part := client.recv(65536)):
            data += part
    except OSError:
        pass
    return data


def final_answer(case, name, data):
    """The final answer of docs/chat-api.md that a streamed response holds, or None."""
    status = int(data.split(b" ", 2)[1]) if data.startswith(b"HTTP/1.1 ") else 0
    text = data.decode("utf-8", "replace")
    if status == 200 and "data: [DONE]" in text:
        end = "generated"
    elif status == 200 and '"error":{' in text:
        end = "aborted, by an error event"
    elif status >= 400:
        end = f"status {status}"
    else:
        end = None
    pieces = len(re.findall(r'"delta":\{"content"', text))
    case.note(f"{name}: status {status}, {len(data)} bytes, {pieces} pieces of text; final answer: {end}")
    if end is None:
        case.note(f"{name}: the last bytes that came: {data[-300:]!r}")
    return end
