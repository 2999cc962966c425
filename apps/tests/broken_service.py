#!/usr/bin/env python3
"""A plain service that answers each request as the last part of its path says; prints its address."""
import asyncio
import socket
import struct

HEAD = "HTTP/1.1 200 OK\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
ANSWERS = {
    "reset": HEAD + "\r\nspoiled",
    "status": "HTTP/1.1 000 X\r\nContent-Length: 7\r\n\r\nspoiled",
    "name": HEAD + "X A: spoiled\r\n" + CHUNKED + "\r\n",
    "folded": HEAD + "X-A: y\r\n spoiled\r\n" + CHUNKED + "\r\n",
    "folded-interim": "HTTP/1.1 103 X\r\nX-A: y\r\n spoiled\r\n\r\n" + HEAD + CHUNKED + "\r\n",
    "folded-trailer": HEAD + CHUNKED + "X-A: y\r\n spoiled\r\n\r\n",
    "whole-close": HEAD + "\r\nbody",
    "whole-length": HEAD + "Content-Length: 4\r\n\r\nbody",
    "whole-chunked": "HTTP/1.1 103 X\r\nX-A: y\r\n\r\n" + HEAD + CHUNKED + "X-A: y\r\n\r\n",
}


async def serve(reader, writer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    name = head.split()[1].rsplit("/", 1)[1]
    if name == "reset":  # before the body is read; the agent may have written all of it
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    else:
        length = [line.split(":")[1] for line in head.split("\r\n") if line.lower().startswith("content-length")]
        await reader.readexactly(int(length[0]) if length else 0)
    writer.write(ANSWERS.get(name, ANSWERS["whole-length"]).encode())
    await writer.drain()
    writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print("%s:%d" % server.sockets[0].getsockname(), flush=True)
    await server.serve_forever()


asyncio.run(main())
