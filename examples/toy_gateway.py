#!/usr/bin/env python3
"""One call over SIP and UDP, ended by whoever says BYE first. Usage: toy_gateway.py [PORT]"""
import random
import socket
import sys

port = int(sys.argv[1]) if len(sys.argv) > 1 else 5060
s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
s.bind(("127.0.0.1", 0))
me = "127.0.0.1:%d" % s.getsockname()[1]
call_id, tag = "%08x" % random.getrandbits(32), "%08x" % random.getrandbits(32)
sdp = "v=0\r\ns=gateway\r\n"


def request(method, to, branch, extra="", body=""):
    return (f"{method} sip:7f3a9c21e0b4d655@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP {me};branch=z9hG4bK{branch}\r\n"
            f"Max-Forwards: 70\r\nFrom: <sip:gw@{me}>;tag={tag}\r\nTo: {to}\r\nCall-ID: {call_id}\r\n"
            f"CSeq: 1 {method}\r\nContact: <sip:gw@{me}>\r\n{extra}Content-Length: {len(body)}\r\n\r\n{body}").encode()


s.sendto(request("INVITE", "<sip:7f3a9c21e0b4d655@127.0.0.1>", "1" + tag,
                 "X-Call-Class: open-sim\r\nX-First-Choice: 0\r\nContent-Type: application/sdp\r\n", sdp),
         ("127.0.0.1", port))
while True:
    text = s.recv(65536).decode()
    print("<", text.split("\r\n")[0], flush=True)
    lines = text.split("\r\n")
    if text.startswith("SIP/2.0 200"):
        to = next(line[4:] for line in lines if line.startswith("To: "))
        s.sendto(request("ACK", to, "2" + tag), ("127.0.0.1", port))
    elif text.startswith("BYE"):
        kept = [line for line in lines if line.split(":")[0] in ("Via", "From", "To", "Call-ID", "CSeq")]
        s.sendto(("SIP/2.0 200 OK\r\n" + "\r\n".join(kept) + "\r\nContent-Length: 0\r\n\r\n").encode(),
                 ("127.0.0.1", port))
        break
    elif not text.startswith("SIP/2.0 1"):
        break
