"""A client that reads a stream slowly and steadily, and a model server that writes faster than it reads."""

from engine import *
from harness import *

# The size of segments on an Ethernet. On loopback they have 64 KB, and the system takes megabytes for a slow reader.
SEGMENT_BYTES = 1460
READS_PER_S = 50
LONG_ANSWERS = REPEATABLE.replace("max_tokens = 64", "max_tokens = 8192")


class FastWriter(Engine):
    """Writes an answer of as many tokens as the request allows, as fast as they are taken."""

    async def decode(self, writer, headers, body):
        tokens = body["max_tokens"]
        writer.write(EVENT_HEAD)
        for number in range(tokens):
            choice = {"index": 0, "text": f"token-{number} ", "finish_reason": None}
            writer.write(chunk(b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"))
            if number % 50 == 0:
                await writer.drain()
        end = {"index": 0, "text": "", "finish_reason": "stop"}
        writer.write(chunk(b"data: " + json.dumps({"choices": [end]}).encode() + b"\n\ndata: [DONE]\n\n") + LAST_CHUNK)
        await writer.drain()
        self.record.write(self.name, f"answer of {tokens} tokens is written")


class SlowReader:
    """One stream. `bytes_per_s` is None for a client that reads as fast as it can."""

    def __init__(self, record, name, tokens):
        self.record, self.name, self.tokens = record, name, tokens
        self.received = b""
        # The longest time in which this client took nothing, because it did not read or because nothing was there.
        self.longest_pause = 0.0

    @property
    def whole(self):
        return b"[DONE]" in self.received

    async def read(self, port, bytes_per_s):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        connection.connect((HOST, port))
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        message = chat_request("north", "Tell the whole story of the race.", stream=True, max_tokens=self.tokens)
        await loop.sock_sendall(connection, message)
        self.record.write(self.name, f"asks for {self.tokens} tokens, reads {bytes_per_s() or 'all'} bytes a second")
        taken_at = self.record.now()
        while not self.whole:
            pace = bytes_per_s()
            data = await asyncio.wait_for(loop.sock_recv(connection, pace // READS_PER_S if pace else 65536), 30)
            self.longest_pause = max(self.longest_pause, self.record.now() - taken_at)
            taken_at = self.record.now()
            if not data:
                break
            self.received += data
            if pace:
                await asyncio.sleep(1 / READS_PER_S)
        connection.close()
        got = self.received.count(b"token-")
        self.record.write(self.name, f"got {got} of {self.tokens} tokens, {len(self.received)} bytes, end mark: "
                                     f"{self.whole}, longest pause {self.longest_pause:.2f} s")
