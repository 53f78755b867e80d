"""A model server stand-in for `petrelshore serve`, as docs/engine.md describes it.

Usage: engine.py ROLE NAME RECORD
ROLE is reader, writer or mixed. It prints its address, then serves until it is killed. Each event is one JSON line in
RECORD. What the client's prompt says in `[...]` sets the answer: `tokens=N`, `bytes=N` (of one token), `pace_ms=N`.
"""
import asyncio
import json
import re
import sys
import time

ROLE, NAME, RECORD = sys.argv[1:4]
record = open(RECORD, "a", buffering=1)


def log(event, **fields):
    record.write(json.dumps({"t": round(time.time(), 3), "server": NAME, "event": event, **fields}) + "\n")


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    fields = {}
    while (header := (await reader.readline()).strip()):
        name, value = header.decode().split(":", 1)
        fields[name.lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    method, path, _ = line.decode().split(" ")
    return method, path, fields, body


def whole(status, value):
    body = json.dumps(value).encode()
    return (f"HTTP/1.1 {status}\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n").encode() + body


def asked(prompt, name, default):
    # The last mark counts: earlier ones belong to earlier turns.
    found = re.findall(r"\[[^\]]*\b" + name + r"=(\d+)", prompt)
    return int(found[-1]) if found else default


async def answer(writer, request, key, body):
    prompt = body["prompt"]
    tokens = min(asked(prompt, "tokens", 5), body.get("max_tokens", 16))
    size, pace = asked(prompt, "bytes", 4), asked(prompt, "pace_ms", 10) / 1000
    ask = (re.findall(r"\bask=(\S+?)[\s\]]", prompt) or ["?"])[-1]
    log("run", request=request, key=key, ask=ask, tokens=tokens)
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")

    def event(value):
        text = f"data: {value if isinstance(value, str) else json.dumps(value)}\n\n".encode()
        writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")

    for number in range(1, tokens + 1):
        await asyncio.sleep(pace)
        text = (f"{ask}:{number}:" + "x" * size)[:size - 1] + " " if size > 8 else f"t{number} "
        event({"choices": [{"index": 0, "text": text, "finish_reason": None}]})
        await writer.drain()
    event({"choices": [{"index": 0, "text": "", "finish_reason": "stop"}]})
    event({"choices": [], "usage": {"prompt_tokens": 20, "completion_tokens": tokens}})
    event("[DONE]")
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    log("answered", request=request, ask=ask)


async def serve(reader, writer):
    request = None
    try:
        while (message := await read_request(reader)):
            method, path, fields, body = message
            body = json.loads(body or b"{}")
            request = fields.get("x-request-id")
            if path == "/v1/kv/release":
                writer.write(whole("200 OK", {}))
                continue
            transfer = body.get("kv_transfer_params") or {}
            if transfer.get("do_remote_decode"):
                log("prefill", request=request)
                writer.write(whole("200 OK", {
                    "kv_transfer_params": {"do_remote_prefill": True, "remote_engine_id": NAME},
                    "usage": {"prompt_tokens": 20, "prompt_tokens_details": {"cached_tokens": 0}}}))
                continue
            log("arrived", request=request, key=fields.get("idempotency-key"))
            await watched(reader, answer(writer, request, fields.get("idempotency-key"), body), request)
    except (ConnectionError, asyncio.IncompleteReadError, EOFError):
        log("connection broke", request=request)
    finally:
        writer.close()


async def watched(reader, work, request):
    """Runs `work` until it ends or the gateway closes the connection, which cancels it."""
    work = asyncio.ensure_future(work)
    closed = asyncio.ensure_future(reader.read(1))
    await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
    if not work.done():
        work.cancel()
        log("cancelled by the gateway", request=request)
        raise EOFError
    closed.cancel()
    try:
        await closed
    except asyncio.CancelledError:
        pass
    await work


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print("{}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await server.serve_forever()


asyncio.run(main())
