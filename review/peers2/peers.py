"""Small stand-ins for the cases of the second review: gateway, setup server, coordinator, link proxy.

Everything listens on 127.0.0.1 and on ports that the system chose. Every message is written to record.txt.
"""
import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begun = time.time()
        self.file.write(f"TROUBLE={int(TROUBLE)}; seconds since the start, who, what\n")

    def __call__(self, who, what):
        self.file.write(f"{time.time() - self.begun:8.3f}  {who:<14} {what}\n")
        self.file.flush()


FIRST_PORT, LAST_PORT = 10240, 32000  # below the range from which connections get their own ports
used_ports = set()


def free_port():
    """A port of 127.0.0.1 that nobody listens on and that no connection takes by chance."""
    for _ in range(1000):
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in used_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", port))
            used_ports.add(port)
            return port
    raise CannotRun("no free port")


def reset(writer):
    """Closes a connection with a TCP reset, as it ends when the process at its other end dies."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# ---- The setup server: JSON lines


class SetupServer:
    """Accepts set-ups and holds calls. `decide(call, offer)` returns "accept", a cause, or None for silence.

    An end goes out on the connection of the call's set-up, otherwise on any open one, and again on the next
    connection opened, as the protocol page says.
    """

    def __init__(self, record, name, port, decide=None, answer_after=0.0, short_calls=None):
        self.record, self.name, self.port = record, name, port
        self.decide = decide or (lambda call, offer: "accept")
        self.answer_after = answer_after
        self.short_calls = short_calls  # calls whose id begins with this end by themselves after 1 s
        self.connections = []
        self.standing = {}  # call -> writer of its set-up
        self.accepted_at, self.ended_at, self.released_at = {}, {}, {}
        self.ran = []  # (time, call, class) of each set-up that ran here
        self.repeat_on_next = []  # ends to be sent again on the next connection
        self.listener, self.silent, self.fillers = None, False, []

    async def start(self, backlog=100):
        self.backlog = backlog
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=backlog)
        self.record(self.name, "process started")

    async def vanish(self):
        """The machine is lost: open connections stay open and quiet, and new ones never come up."""
        self.record(self.name, f"its machine is lost with {len(self.standing)} calls")
        self.silent = True
        sock = self.listener.sockets[0]
        asyncio.get_running_loop().remove_reader(sock.fileno())
        for _ in range(self.backlog + 2):  # the queue of the listening socket is full from here on
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self.fillers.append(filler)
        await asyncio.sleep(0)

    async def die(self):
        """The process is gone: its connections are reset and its calls cut."""
        self.record(self.name, f"the process is gone, {len(self.standing)} calls cut")
        self.listener.close()
        for writer in self.connections:
            reset(writer)
        for filler in self.fillers:
            filler.close()
        self.connections, self.standing, self.repeat_on_next, self.fillers = [], {}, [], []

    def send(self, writer, **message):
        if self.silent:
            return
        line = json.dumps(message)
        self.record(self.name, "sends " + line)
        writer.write((line + "\n").encode())

    def end(self, call, why=16):
        own = self.standing.pop(call, None)
        self.ended_at[call] = time.time()
        message = {"op": "end", "call": call, "with": {"load": "x0:40;x1:40"}, "why": why}
        to = own if own in self.connections else (self.connections[0] if self.connections else None)
        if to is None:
            self.record(self.name, f"call {call} has ended; no connection is open to say so")
        else:
            self.send(to, **message)
        self.repeat_on_next.append(message)

    def end_if_standing(self, call):
        if call in self.standing and not self.silent:
            self.end(call)

    async def serve(self, reader, writer):
        self.connections.append(writer)
        self.send(writer, op="group", call="0" * 16, **{"with": {"load": "x0:40;x1:40;util:0.1;queue:0"}})
        for message in self.repeat_on_next:
            self.send(writer, **message)
        self.repeat_on_next = []
        try:
            while line := await reader.readline():
                message = json.loads(line)
                if self.silent:
                    continue
                self.record(self.name, "hears " + line.decode().strip())
                await self.handle(writer, message)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer in self.connections:
                self.connections.remove(writer)
            writer.close()

    async def handle(self, writer, message):
        call = message.get("call")
        if message["op"] == "offer":
            verdict = self.decide(call, message)
            if verdict is None:
                return
            asyncio.get_running_loop().call_later(self.answer_after, self.answer, writer, message, verdict)
        elif message["op"] == "end":
            self.released_at.setdefault(call, time.time())
            self.standing.pop(call, None)
            self.send(writer, op="ended", call=call, **{"with": {}})
        elif message["op"] == "test":
            self.send(writer, op="tested", call=call, **{"with": {}}, why=1)

    def answer(self, writer, message, verdict):
        call = message["call"]
        if self.silent or writer not in self.connections or call in self.released_at:
            return
        if verdict == "accept":
            self.ran.append((time.time(), call, message["with"]["class"]))
            self.standing[call] = writer
            self.accepted_at[call] = time.time()
            self.send(writer, op="accept", call=call, **{"with": {}}, desc=f"{self.name} {call}")
            if self.short_calls and call.startswith(self.short_calls):
                asyncio.get_running_loop().call_later(1.0, self.end_if_standing, call)
        else:
            if verdict == 41:
                self.ran.append((time.time(), call, message["with"]["class"]))
            self.send(writer, op="end", call=call, **{"with": {}}, why=verdict)


# ---- The coordinator: server-sent events


class Coordinator:
    def __init__(self, record, port):
        self.record, self.port, self.events, self.watchers = record, port, [], []

    async def start(self):
        await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def tell(self, event):
        self.events.append(event)
        self.record("coordinator", "tells " + json.dumps(event))
        for writer in self.watchers:
            self.write(writer, event)

    @staticmethod
    def write(writer, event):
        writer.write(f"id: {event['index']}\ndata: {json.dumps(event)}\n\n".encode())

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            last = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("last-event-id:"):
                    last = int(line.split(":")[1])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            for event in self.events:
                if event["index"] > last:
                    self.write(writer, event)
            self.watchers.append(writer)
            while not writer.is_closing():
                writer.write(b": still here\n\n")
                await asyncio.sleep(1)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer in self.watchers:
                self.watchers.remove(writer)
            writer.close()


def host_entry(name, port, health="in_service", born_ms=0, block=0):
    return {"host": name, "dial": f"127.0.0.1:{port}", "site": "jakarta", "class": "std", "block": block,
            "health": health, "share": 1, "born_ms": born_ms}


def list_event(index, hosts, whole=False):
    return {"index": index, "endpoints": {"seq": index, "whole": whole, "hosts": hosts}}


# ---- The gateway: binary messages of callers


class Gateway:
    """One connection of callers. `heard` has (time, call, type, cause) of every message."""

    def __init__(self, record, name, port):
        self.record, self.name, self.port = record, name, port
        self.heard, self.sent = [], {}
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.task = asyncio.create_task(self.read())

    async def read(self):
        try:
            while True:
                size = struct.unpack(">H", await self.reader.readexactly(2))[0]
                message = await self.reader.readexactly(size)
                kind, call, rest = message[0], message[1:9].hex(), message[9:]
                cause, description, at = None, None, 0
                while at + 3 <= len(rest):
                    code, length = rest[at], struct.unpack(">H", rest[at + 1:at + 3])[0]
                    value = rest[at + 3:at + 3 + length]
                    at += 3 + length
                    if code == 208:
                        cause = value[0]
                    if code == 210:
                        description = value.decode()
                self.heard.append((time.time(), call, kind, cause))
                said = f" description {description!r}" if description else ""
                self.record(self.name, f"hears type {kind} call {call} cause {cause}{said}")
        except (ConnectionError, asyncio.IncompleteReadError):
            self.record(self.name, "its connection has ended")

    def send(self, kind, call, *parameters):
        message = bytes([kind]) + bytes.fromhex(call)
        for code, value in parameters:
            message += bytes([code]) + struct.pack(">H", len(value)) + value
        self.writer.write(struct.pack(">H", len(message)) + message)

    def set_up(self, call, call_class="open-sim", wait_ms=3000, first_choice=0):
        self.record(self.name, f"sends a set-up, call {call} class {call_class} wait {wait_ms} ms")
        self.sent[call] = time.time()
        parameters = [(180, call_class.encode()), (182, str(wait_ms).encode()),
                      (188, call.encode()), (190, f"dest:{first_choice};width:1;via:-1".encode()),
                      (210, f"caller {call}".encode())]
        self.send(1, call, *parameters)

    def release(self, call, cause=16):
        self.record(self.name, f"sends a release, call {call} cause {cause}")
        self.send(12, call, (208, bytes([cause])))

    def first(self, call, kind):
        return next((each for each in self.heard if each[1] == call and each[2] == kind), None)

    async def keep_calling(self, prefix, every=0.5, servers=1):
        """Ordinary traffic: a call every now and then, so that the connection stays in use."""
        number = 0
        while True:
            number += 1
            self.set_up(f"{prefix}{number:0{16 - len(prefix)}x}", first_choice=number % servers)
            await asyncio.sleep(every)

    async def answered(self, calls, within=5.0):
        """Waits until each call has its answer (type 9)."""
        until = time.time() + within
        while time.time() < until:
            if all(self.first(call, 9) for call in calls):
                return
            await asyncio.sleep(0.01)
        missing = [call for call in calls if not self.first(call, 9)]
        raise CannotRun(f"{self.name}: calls without an answer before the disruption: {missing}")


async def wait_ready(port, within=10.0):
    """Waits until a call controller passes a test on its callers' address."""
    until = time.time() + within
    while time.time() < until:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(struct.pack(">HB8sBHB", 13, 52, b"\0" * 8, 208, 1, 0))
            reply = await asyncio.wait_for(reader.readexactly(15), 1.0)
            writer.close()
            if reply[2] == 53 and reply[14] == 1:
                return
        await asyncio.sleep(0.05)
    raise CannotRun("the call controller was not ready in time")


# ---- A proxy on the link between a forwarder and a planner


class LinkProxy:
    """Passes bytes on. It can reset all connections, or cut the two sides off from each other."""

    def __init__(self, record, name, port, target):
        self.record, self.name, self.port, self.target = record, name, port, target
        self.pairs, self.is_cut, self.fillers = [], False, []

    async def start(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(1)
        self.listener.setblocking(False)
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self):
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=sock)
            self.serving = asyncio.create_task(self.serve(reader, writer))

    def cut(self):
        """Both sides are cut off: open connections stay open and quiet, and new ones never come up."""
        self.record(self.name, "the planner is cut off")
        self.is_cut = True
        self.accepting.cancel()
        for _ in range(3):  # the queue of the listening socket is full from here on
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def mend(self):
        self.record(self.name, "the planner is in touch again; what was on its way arrives")
        self.is_cut = False
        for filler in self.fillers:
            filler.close()
        self.accepting = asyncio.create_task(self.accept())

    async def serve(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            reset(writer)
            return
        pair = (writer, other_writer)
        self.pairs.append(pair)
        await asyncio.gather(self.pump(reader, other_writer), self.pump(other_reader, writer))
        for each in pair:
            each.close()
        if pair in self.pairs:
            self.pairs.remove(pair)

    async def pump(self, reader, writer):
        """One direction; the end of it is passed on as the end of that direction only."""
        with contextlib.suppress(ConnectionError, OSError):
            data = b"?"
            while data:
                data = await reader.read(65536)
                while self.is_cut and not writer.is_closing():
                    await asyncio.sleep(0.005)
                if writer.is_closing():
                    return
                if data:
                    writer.write(data)
                elif writer.can_write_eof():
                    writer.write_eof()

    def reset_all(self):
        self.record(self.name, f"resets {len(self.pairs)} link connections")
        for pair in list(self.pairs):
            for writer in pair:
                reset(writer)


# ---- The programs of the project, as separate processes


def settings(classes, attempts_cap=6, instances=1, servers=1):
    effects = {"open-sim": (1500.0, 9000.0, 1.0), "exam-join": (800.0, 6000.0, 6.0),
               "class-join": (1500.0, 9000.0, 2.0)}
    return {
        "n_instances": instances, "rank": 0, "quantum": 5.0, "discovery": "automatic",
        "request_classes": [
            {"name": name, "aim": effects[name][0], "deadline": effects[name][1], "value": effects[name][2],
             "late_worth": 0.25, "effect": effect, "group": "all", "stream": True, "window": 5000.0}
            for name, effect in classes],
        "limits": {"attempts_cap": attempts_cap, "cancelling": True, "retry_after": True,
                   "max_retry_after": 2000.0, "connect_timeout": 500.0, "idle_close": 600000.0},
        "contract": {"cold": 15000.0, "cold_from": 0.35, "drain_grace": 2000.0, "fall": 1000.0,
                     "fall_multiple": 2.5, "grace_to_answer": 20.0},
        "specifics": {"class_cells": [list(range(servers)) for _ in classes], "release_guard": 300.0, "resend": 500.0,
                      "self_no": -1, "shape": "pools"},
        "report": {"fields": ["free", "size", "busy", "q"], "how": "piggyback"}}


ALL_REPEATABLE = [("open-sim", "repeatable"), ("exam-join", "repeatable"), ("class-join", "repeatable")]


class Site:
    """A temporary folder with the configuration, and the processes that were started."""

    def __init__(self, record):
        self.record, self.processes, self.logs = record, [], []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review2-"))

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return path

    def config(self, name, listen, coordinator, hosts, facts, **more):
        known = {"index": 1, "updates": [list_event(1, hosts, True)]}
        return self.write(f"{name}.json", json.dumps(
            {"name": name, "listen": f"127.0.0.1:{listen}", "seed": "8c1f30d27a5be964",
             "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
             "coordinator": f"127.0.0.1:{coordinator}", "known": known, "settings": facts, **more}))

    def run_command(self):
        for line in (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8").splitlines():
            if line.startswith("run"):
                return line.split("=", 1)[1].strip().strip('"')
        raise CannotRun("the deploy file has no key 'run'")

    def start(self, name, config, *arguments):
        """Starts the program as the deploy file's `run` says, with further arguments."""
        command = " ".join([self.run_command(), *arguments])
        log = open(self.folder / f"{name}.log", "ab")
        environment = {**os.environ, "NODE_CONFIG": str(config), "TMPDIR": str(self.folder)}
        environment.pop("NODE_MANAGEMENT", None)
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL)
        self.processes.append(process)
        self.logs.append(name)
        self.record(name, "started: " + " ".join([self.run_command(), *(a if a.startswith("-") or a.isdigit() else
                                                                      pathlib.Path(a).name for a in arguments)]))
        return process

    def kill(self, name, process, how=signal.SIGKILL):
        self.record(name, f"gets {signal.Signals(how).name}")
        process.send_signal(how)

    def check_alive(self, process):
        if process.poll() is not None:
            raise CannotRun(f"a program has exited by itself with {process.returncode}")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for name in dict.fromkeys(self.logs):
            with contextlib.suppress(OSError):
                text = (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")
                for line in text.splitlines():
                    self.record("log " + name, line.replace(str(self.folder), "DIR"))
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, story):
    """Plays the case: `story(record, site)` returns the list of what broke the rule. Ends this process."""
    code = judge(folder, story)
    sys.stdout.flush()
    os._exit(code)  # without asyncio's words about connections that were still open


def judge(folder, story):
    record = Record(folder)
    if not (ROOT / "build" / "quartzarch").exists():
        print("could not run: build/quartzarch is missing")
        return COULD_NOT_RUN
    site = Site(record)
    try:
        broken = asyncio.run(asyncio.wait_for(story(record, site), 110))
    except Exception as error:  # whatever stops the story says nothing about the rule
        record("verdict", f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return COULD_NOT_RUN
    finally:
        site.close()
    for line in broken:
        record("verdict", "broken: " + line)
        print("broken: " + line)
    if not broken:
        record("verdict", "held")
        print("held")
    return BROKEN if broken else HELD
