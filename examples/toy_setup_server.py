#!/usr/bin/env python3
"""A toy setup server, and a coordinator that has nothing to tell: enough to try quartzarch on one machine.

It accepts every offer, ends the call after three seconds, and prints the lines it gets. It is no model of a real
setup server. Usage: toy_setup_server.py [SETUP_PORT COORDINATOR_PORT]
"""
import asyncio
import json
import sys


async def serve_calls(reader, writer):
    def say(**message):
        writer.write((json.dumps(message) + "\n").encode())

    async def end_later(call):
        await asyncio.sleep(3)
        say(op="end", call=call, **{"with": {"load": "x0:10;x1:10"}}, why=16)

    say(op="group", call="0" * 16, **{"with": {"load": "x0:10;x1:10;util:0.1;queue:0"}})
    tasks = set()
    while line := await reader.readline():
        print("setup server heard:", line.decode().strip(), flush=True)
        message = json.loads(line)
        if message["op"] == "offer":
            say(op="accept", call=message["call"], **{"with": {}}, desc="v=0\r\ns=toy\r\n")
            tasks.add(asyncio.create_task(end_later(message["call"])))


async def serve_stream(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
    while not writer.is_closing():
        writer.write(b": still here\n\n")
        await asyncio.sleep(1)


async def main():
    ports = [int(arg) for arg in sys.argv[1:3]] or [5070, 2379]
    await asyncio.start_server(serve_calls, "127.0.0.1", ports[0])
    await asyncio.start_server(serve_stream, "127.0.0.1", ports[1])
    print("setup server on %d, coordinator on %d" % tuple(ports), flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
