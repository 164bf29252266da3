"""Stand-ins for the review's cases: a coordinator, setup servers, gateways, the front's health check and a TCP relay.

They follow PROTOCOL: callers send binary messages, setup servers JSON lines, the coordinator server-sent events.
Everything runs in one event loop on loopback; a Record notes what was sent, answered and run.
"""
import asyncio
import contextlib
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

SLACK_S = 0.05  # PROTOCOL: every time limit is 50 ms longer on sockets

SETUP, ANSWER, RELEASE, RELEASE_HEARD, TEST, TESTED = 1, 9, 12, 16, 52, 53
CLASS, DEADLINE, RETRY, NUMBER, FIGURES, CAUSE, DESCRIPTION = 180, 182, 186, 188, 190, 208, 210
REFUSALS = (34, 42, 102)  # PROTOCOL: trying again is harmless; any other cause before the answer: failed


class Record:
    """The record of one run: a line an event, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.time()

    def __call__(self, text):
        self.file.write("%9.3f  %s\n" % (time.time() - self.start, text))
        self.file.flush()


FIRST_PORT, LAST_PORT = 20000, 29999  # below the ports that the system gives to outgoing connections
_given_ports = set()


def free_port():
    """A port that nothing listens at, and that no later connection gets by chance."""
    while True:
        port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in _given_ports:
                _given_ports.add(port)
                return port


def run_command(root):
    """The `run` command of the deploy file."""
    with open(os.path.join(root, "deploy", "balancer.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "(.*)"', file.read(), re.M).group(1)


class Program:
    """One process of the project, started by the `run` command of the deploy file."""

    def __init__(self, record, root, name, config, options=""):
        self.record, self.root, self.name, self.options = record, root, name, options
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.config = os.path.join(self.directory, "config.json")
        self.write_config(config)
        self.process = None

    def write_config(self, config):
        self.listen = config["listen"]
        with open(self.config, "w", encoding="utf-8") as file:
            json.dump(config, file)

    async def start(self):
        environment = dict(os.environ, NODE_NAME=self.name, NODE_LISTEN=self.listen, NODE_CONFIG=self.config,
                           TMPDIR=self.directory)
        environment.pop("NODE_MANAGEMENT", None)
        self.log = open(os.path.join(self.directory, "log"), "a", encoding="utf-8")
        command = run_command(self.root) + (" " + self.options if self.options else "")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=self.root, env=environment, stdout=self.log, stderr=self.log)
        self.record("%s: started: %s" % (self.name, command))

    def signal(self, number):
        self.record("%s: %s sent" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def wait(self):
        code = await self.process.wait()
        self.record("%s: ended with %d" % (self.name, code))
        return code

    async def stop(self):
        """Ends the process at the end of a run, whatever its state; its log goes into the record."""
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        if self.process:
            self.log.close()
            with open(self.log.name, encoding="utf-8", errors="replace") as file:
                for line in file:
                    self.record("log of %s: %s" % (self.name, line.rstrip()))
        shutil.rmtree(self.directory, ignore_errors=True)

    def running(self):
        return self.process is not None and self.process.returncode is None


class Coordinator:
    """Has nothing to tell beyond `known`: a comment every second."""

    async def start(self):
        self.writers = set()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while not writer.is_closing():
                writer.write(b": still here\n\n")
                await writer.drain()
                await asyncio.sleep(1)


class SetUp:
    """A set-up that is out at a setup server, on one connection."""

    def __init__(self, link, offer):
        self.link, self.cls = link, offer["with"]["class"]


class ServerLink:
    """One connection of a setup server."""

    def __init__(self, writer):
        self.writer = writer
        self.peer_port = writer.get_extra_info("peername")[1]

    def up(self):
        return not self.writer.is_closing()

    def send(self, **message):
        if self.up():
            self.writer.write((json.dumps(message) + "\n").encode())


class SetupServer:
    """A setup server of PROTOCOL: answers each set-up after `delay(class)` s, in the order of arrival if that is
    constant, and ends each call `hold(class)` s after its answer.

    A call is known by its id alone: a set-up of a call that stands already is answered like any other, and a release
    by the call controller ends whatever there is of the call, whichever connection it comes on.
    """

    LOAD = {"load": "x0:1000;x1:1000;util:0.2;queue:0"}

    def __init__(self, record, name, delay, hold):
        self.record, self.name, self.delay, self.hold = record, name, delay, hold
        self.links = []
        self.out = []       # set-ups that are out
        self.standing = {}  # call -> the link of its set-up
        self.repeat = []    # releases to be sent on the next connection opened as well
        self.runs = {}      # call -> times at which its set-ups arrived
        self.answers = {}   # call -> descriptions given
        self.ended = {}     # call -> when it came to its end here
        self.cut = {}       # call -> when it was cut by a release from the call controller
        self.on_offer = None  # called with (link, message); True: the set-up is not answered

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        link = ServerLink(writer)
        self.links.append(link)
        self.report(link)
        for call, why in self.repeat:
            self.record("%s: release of %s sent again on the next connection" % (self.name, call))
            link.send(op="end", call=call, **{"with": {}}, why=why)
        self.repeat = []
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                self.handle(link, json.loads(line))
        self.links.remove(link)
        # The set-ups open on a closed connection are given up; calls that stand go on.
        self.out = [s for s in self.out if s[1].link is not link]
        writer.close()

    def report(self, link):
        link.send(op="group", call="0" * 16, **{"with": self.LOAD})

    def handle(self, link, message):
        call = message.get("call", "")
        if message["op"] == "offer":
            self.record("%s: offer %s %s left=%s" %
                        (self.name, call, message["with"]["class"], message["with"]["left"]))
            self.runs.setdefault(call, []).append(time.time())
            if self.on_offer and self.on_offer(link, message):
                return
            set_up = (call, SetUp(link, message))
            self.out.append(set_up)
            asyncio.get_running_loop().create_task(self.answer(set_up))
        elif message["op"] == "end":
            stood = self.standing.pop(call, None)
            self.record("%s: end %s why=%s heard%s" % (self.name, call, message.get("why"),
                                                       ", the call is cut" if stood else ""))
            if stood:
                self.cut.setdefault(call, time.time())
            self.out = [s for s in self.out if s[0] != call]
            link.send(op="ended", call=call, **{"with": {}})
        elif message["op"] == "test":
            link.send(op="tested", call=call, **{"with": {}}, why=1)

    async def answer(self, set_up):
        call, state = set_up
        await asyncio.sleep(self.delay(state.cls))
        if set_up not in self.out:
            return
        self.out.remove(set_up)
        self.standing[call] = state.link
        description = "v=0\r\ns=%s-%s-%d\r\n" % (self.name, call, len(self.answers.get(call, ())))
        self.answers.setdefault(call, set()).add(description)
        self.record("%s: accept %s" % (self.name, call))
        state.link.send(op="accept", call=call, **{"with": {}}, desc=description)
        await asyncio.sleep(self.hold(state.cls))
        if self.standing.get(call) is state.link:
            self.end(call)

    def end(self, call):
        """The call has come to its end: said on the connection of its set-up, else on any open one, and on the next
        one opened."""
        link = self.standing.pop(call)
        self.ended[call] = time.time()
        to = link if link in self.links else next((each for each in self.links if each.up()), None)
        self.record("%s: call %s has ended, release %s" % (self.name, call, "sent" if to else "not to be sent yet"))
        if to:
            to.send(op="end", call=call, **{"with": self.LOAD}, why=16)
        self.repeat.append((call, 16))


def parameter(code, value):
    data = value if isinstance(value, bytes) else value.encode()
    return bytes([code]) + struct.pack(">H", len(data)) + data


def message(kind, call, parameters=b""):
    body = bytes([kind]) + bytes.fromhex(call) + parameters
    return struct.pack(">H", len(body)) + body


def parse_parameters(data):
    found = {}
    while data:
        code, length = data[0], struct.unpack(">H", data[1:3])[0]
        found[code] = data[3:3 + length]
        data = data[3 + length:]
    return found


class CallerConnection:
    """One connection of a caller (a gateway, or the front's health check) to a call controller."""

    def __init__(self, record, name, on_message):
        self.record, self.name, self.on_message = record, name, on_message
        self.closed = False

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.get_running_loop().create_task(self.read())
        return self

    def send(self, data):
        self.writer.write(data)

    async def read(self):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                length = struct.unpack(">H", await self.reader.readexactly(2))[0]
                body = await self.reader.readexactly(length)
                self.on_message(self, body[0], body[1:9].hex(), parse_parameters(body[9:]))
        self.closed = True
        self.writer.close()

    def close(self):
        self.closed = True
        self.task.cancel()
        self.writer.close()


class Gateway:
    """A caller: set-ups on one connection, opened as needed and closed once it has carried no call for 4 s."""

    IDLE_S = 4.0

    def __init__(self, record, name, seed):
        self.record, self.name, self.random = record, name, random.Random(seed)
        self.connection = None
        self.open = {}      # set-ups without a final answer
        self.calls = {}     # id -> dict(cls, sent, left, result, answered, released)
        self.errors = []

    async def call(self, port, cls, left_ms):
        """Sends a set-up; returns its id, or None if no connection could be made."""
        if self.connection is None or self.connection.closed:
            try:
                self.connection = await CallerConnection(self.record, self.name, self.on_message).open(port)
            except OSError:
                self.record("%s: no connection to be had" % self.name)
                return None
        call = "%016x" % self.random.getrandbits(64)
        self.calls[call] = {"cls": cls, "sent": time.time(), "left": left_ms / 1000, "result": None,
                            "on": self.connection, "released": None}
        self.record("%s: set-up %s %s left=%d" % (self.name, call, cls, left_ms))
        self.connection.send(message(SETUP, call, parameter(CLASS, cls) + parameter(DEADLINE, str(left_ms)) +
                                     parameter(NUMBER, "%016x" % self.random.getrandbits(64)) +
                                     parameter(FIGURES, "dest:%d;width:1;via:-1" % self.random.randrange(2)) +
                                     parameter(DESCRIPTION, "v=0\r\ns=%s\r\n" % call)))
        return call

    def on_message(self, connection, kind, call, parameters):
        known = self.calls.get(call)
        if kind == ANSWER:
            self.record("%s: answer %s" % (self.name, call))
            if known is None or known["result"] is not None:
                self.errors.append("answer to a call that has one or was never made: " + call)
                return
            known["result"] = "stands"
            known["answered"] = time.time()
            known["description"] = parameters.get(DESCRIPTION, b"").decode()
        elif kind == RELEASE:
            cause = parameters[CAUSE][0] if CAUSE in parameters else None
            self.record("%s: release %s cause=%s" % (self.name, call, cause))
            connection.send(message(RELEASE_HEARD, call))
            if known is None:
                return
            if known["result"] is None:
                known["result"] = "refused" if cause in REFUSALS else "failed"
                known["answered"] = time.time()
                known["cause"] = cause
            elif known["result"] == "stands" and known["released"] is None:
                known["released"] = time.time()

    def give_up(self, call):
        """The caller stops waiting: no answer is owed any more."""
        known = self.calls[call]
        self.record("%s: set-up %s given up" % (self.name, call))
        if not known["on"].closed:
            known["on"].send(message(RELEASE, call, parameter(CAUSE, bytes([16]))))


class HealthCheck:
    """The front's check of one call controller: a test every `every` seconds on a connection of its own."""

    def __init__(self, record, port, every):
        self.record, self.port, self.every = record, port, every
        self.passed = asyncio.Event()
        self.foreign = []  # other messages that came on its connection

    def on_message(self, _, kind, call, parameters):
        if kind == TESTED:
            if parameters.get(CAUSE) == b"\x01" and not self.passed.is_set():
                self.record("front: test passed, the call controller is taken in")
                self.passed.set()
            return
        self.record("front: message %d of call %s on the connection of the health check" % (kind, call))
        self.foreign.append(call)

    async def run(self):
        connection, number = None, 0
        while True:
            if connection is None or connection.closed:
                self.passed.clear()
                try:
                    connection = await CallerConnection(self.record, "front", self.on_message).open(self.port)
                except OSError:
                    connection = None
            if connection:
                number += 1
                connection.send(message(TEST, "%016x" % (0xfeed0000 + number), parameter(CAUSE, b"\0")))
            await asyncio.sleep(self.every)


class RelayedConnection:
    """One connection through a relay. While it is silent its bytes wait on both sides, and it stays open."""

    def __init__(self, flowing):
        self.flowing = flowing
        self.port_at_target = None

    async def fall_silent(self, seconds):
        self.flowing.clear()
        await asyncio.sleep(seconds)
        self.flowing.set()


class Relay:
    """A TCP relay before a server, at `port`: one connection of it, or all, can fall silent for a while."""

    def __init__(self, record, name, target):
        self.record, self.name, self.target = record, name, target
        self.connections = []
        self.reachable = asyncio.Event()
        self.reachable.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        # A connection that begins while the target cannot be reached does not come up there before the end of that.
        await self.reachable.wait()
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        flowing = asyncio.Event()
        flowing.set()
        connection = RelayedConnection(flowing)
        connection.port_at_target = to_writer.get_extra_info("sockname")[1]
        self.connections.append(connection)
        await asyncio.gather(self.pump(connection, reader, to_writer), self.pump(connection, to_reader, writer))
        self.connections.remove(connection)

    async def pump(self, connection, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                await connection.flowing.wait()
                if writer.is_closing():
                    break
                writer.write(data)
                await writer.drain()
        await connection.flowing.wait()  # the end of a silent connection is not heard either
        writer.close()

    async def cut(self, seconds):
        """The target cannot be reached: connections are open and quiet, and new ones do not come up there."""
        self.record("%s: cut off for %.1f s" % (self.name, seconds))
        self.reachable.clear()
        await asyncio.gather(asyncio.sleep(seconds), *(c.fall_silent(seconds) for c in self.connections))
        self.reachable.set()
        self.record("%s: no longer cut off" % self.name)


def settings(instances=1, rank=0):
    """Settings as a call controller of java-campus-net gets them, small: its classes, limits and rules."""
    return {
        "n_instances": instances, "rank": rank, "quantum": 5.0, "discovery": "automatic", "locality": 0,
        "request_classes": [
            {"name": "open-sim", "aim": 1500.0, "deadline": 9000.0, "value": 1.0, "late_worth": 0.25,
             "effect": "repeatable", "group": "all", "stream": True, "window": 5000.0},
            {"name": "exam-join", "aim": 800.0, "deadline": 6000.0, "value": 6.0, "late_worth": 0.25,
             "effect": "repeatable", "group": "all", "stream": True, "window": 5000.0},
            {"name": "class-join", "aim": 1500.0, "deadline": 9000.0, "value": 2.0, "late_worth": 0.1,
             "effect": "repeatable", "group": "all", "stream": True, "window": 5000.0}],
        "limits": {"attempts_cap": 6, "cancelling": True, "retry_after": True, "max_retry_after": 2000.0,
                   "connect_timeout": 500.0, "idle_close": 600000.0, "parallel_tries": False, "probes": False},
        "contract": {"cold": 15000.0, "cold_from": 0.35, "fall": 1000.0, "fall_multiple": 2.5,
                     "drain_grace": 2000.0, "grace_to_answer": 20.0},
        "specifics": {"class_cells": [[0, 1], [0, 1], [0, 1]], "release_guard": 300.0, "resend": 500.0,
                      "self_no": -1, "widths": [1, 1, 1], "shape": "pools", "retry_hint": False},
        "report": {"fields": ["free", "size", "busy", "q"], "how": "piggyback"}}


def config(name, listen, coordinator, servers, **more):
    """The configuration of one call controller; `servers`: the setup servers, or relays before them."""
    hosts = [{"host": "s%d" % i, "dial": "127.0.0.1:%d" % s.port, "site": "jakarta", "class": "std", "block": i,
              "health": "in_service", "share": 1, "born_ms": 0} for i, s in enumerate(servers)]
    return {"name": name, "listen": "127.0.0.1:%d" % listen, "seed": "%016x" % random.SystemRandom().getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": "127.0.0.1:%d" % coordinator.port,
            "known": {"index": 1, "updates": [
                {"index": 1, "endpoints": {"seq": 1, "whole": True, "hosts": hosts}}]},
            "settings": settings(**more)}


async def report_and_disturb(record, servers, relays, trouble, every_s, silence_s, most=1000):
    """Tells the servers' state once a second on the open connections (the site's told_ms). With `trouble`, one
    connection with a set-up out falls silent for `silence_s` shortly after that, every `every_s`, in turn at each
    server, `most` times at most.
    """
    last, turn = time.time(), 0
    while True:
        await asyncio.sleep(1.0)
        for server in servers:
            for link in server.links:
                server.report(link)
        if not trouble or turn >= most or time.time() - last < every_s:
            continue
        await asyncio.sleep(0.02)
        server, relay = servers[turn % len(servers)], relays[turn % len(servers)]
        busy = {set_up.link.peer_port for _, set_up in server.out}
        connection = next((c for c in relay.connections if c.port_at_target in busy and c.flowing.is_set()), None)
        if connection is None:
            continue
        record("%s: one of its %d connections falls silent for %.1f s" %
               (server.name, len(relay.connections), silence_s))
        asyncio.get_running_loop().create_task(connection.fall_silent(silence_s))
        last, turn = time.time(), turn + 1


def levels(directory, name, ports):
    """The file of the option --levels: the planners' addresses."""
    path = os.path.join(directory, name)
    with open(path, "w", encoding="utf-8") as file:
        file.write("planners = [%s]\n" % ", ".join('"127.0.0.1:%d"' % port for port in ports))
    return path


async def listening(port, seconds=20):
    """Waits until something listens at the port."""
    until = time.time() + seconds
    while time.time() < until:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.05)
    raise RuntimeError("nothing listens at port %d" % port)


def main(case, folder, limit_s=110):
    """Runs `case(record, root, trouble)`, which returns the list of breaches; exits with 0, 1 or 2."""
    root = os.path.abspath(os.path.join(folder, "..", ".."))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record("case %s, %s the disruption" % (os.path.basename(folder), "with" if trouble else "without"))
    programs = []

    async def bounded():
        loop, this = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, this.cancel)
        try:
            return await asyncio.wait_for(case(record, root, trouble, programs), limit_s)
        finally:
            for program in programs:
                await program.stop()

    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # connections that are open when the run ends
    try:
        breaches = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record("could not run: %r" % error)
        print("could not run: %r" % error)
        sys.exit(2)
    for breach in breaches:
        record("BREACH " + breach)
        print("BREACH " + breach)
    record("%d breaches" % len(breaches))
    print("%d breaches" % len(breaches))
    sys.exit(1 if breaches else 0)
