#!/usr/bin/env python3
"""One call in the platform's binary protocol. Usage: toy_caller.py [PORT]"""
import os
import socket
import struct
import sys

NAMES = {9: "answer", 12: "release", 16: "release heard"}


def message(kind, call, *parameters):
    body = bytes([kind]) + call + b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters)
    return struct.pack(">H", len(body)) + body


port = int(sys.argv[1]) if len(sys.argv) > 1 else 5071
call = os.urandom(8)
with socket.create_connection(("127.0.0.1", port)) as s:
    s.sendall(message(1, call, (180, b"open-sim"), (182, b"3000"), (188, b"7f3a9c21e0b4d655"),
                      (190, b"dest:0;width:1;via:-1"), (210, b"v=0\r\ns=caller\r\n")))
    stream = s.makefile("rb")
    while True:
        (length,) = struct.unpack(">H", stream.read(2))
        body = stream.read(length)
        print(NAMES.get(body[0], body[0]), body[9:])
        if body[0] == 12:
            break
