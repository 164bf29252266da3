"""Case 2: one connection to a setup server is silent for 3 s; a call that stands is cut behind its caller's back.

A small day of java-campus-net: one call controller, two setup servers that answer after 0.2 s, about 16 calls a second.
With the disruption, every 5 s one connection that has a set-up out falls silent for 3 s, while the others go on.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin

CLASSES = ("open-sim", "exam-join", "class-join")
TRAFFIC_S = 45.0
CALL_EVERY_S = 0.06
TRY_MS = {"open-sim": 3000, "exam-join": 2100, "class-join": 3000}  # 30 to 40% of the class's give-up time
ANSWER_S = 0.2      # from a set-up to its answer at a setup server
HOLD_S = 8.0        # the site's calls last 7.7 to 11 s on average
SILENCE_S = 3.0     # STANDING: setup servers fall silent for 6 s
SILENCE_EVERY_S = 5.0
RELEASE_S = 1.0     # PROTOCOL: within 1 s of the release by the setup server or the call controller


async def case(record, root, trouble, programs):
    coordinator = await standin.Coordinator().start()
    servers = [await standin.SetupServer(record, "s%d" % i, lambda cls: ANSWER_S, lambda cls: HOLD_S).start()
               for i in range(2)]
    relays = [await standin.Relay(record, "way to " + server.name, server.port).start() for server in servers]
    listen = standin.free_port()
    programs.append(standin.Program(record, root, "n0", standin.config("n0", listen, coordinator, relays)))
    await programs[0].start()
    await standin.listening(listen)
    front = standin.HealthCheck(record, listen, 0.5)
    checking = asyncio.create_task(front.run())
    await asyncio.wait_for(front.passed.wait(), 20)

    gateway = standin.Gateway(record, "gateway", 39)
    disturbing = asyncio.create_task(
        standin.report_and_disturb(record, servers, relays, trouble, SILENCE_EVERY_S, SILENCE_S))
    until, number = time.time() + TRAFFIC_S, 0
    while time.time() < until:
        cls = CLASSES[number % 3]
        await gateway.call(listen, cls, TRY_MS[cls])
        number += 1
        await asyncio.sleep(CALL_EVERY_S)
    await asyncio.sleep(max(TRY_MS.values()) / 1000 + HOLD_S + RELEASE_S)
    disturbing.cancel()
    checking.cancel()

    breaches = list(gateway.errors)
    for server in servers:
        for call, at in server.cut.items():
            known = gateway.calls[call]
            # Only where the caller has this server's answer: a call that stands elsewhere is rightly ended here.
            if known["result"] != "stands" or "s=%s-" % server.name not in known["description"]:
                continue
            if known["answered"] > at:
                continue
            told = known["released"]
            if told is None or told - at > RELEASE_S + standin.SLACK_S:
                breaches.append("%s %s: stood for its caller, cut at %s by the call controller %.2f s later, the caller "
                                "%s" % (known["cls"], call, server.name, at - known["answered"],
                                        "was never told" if told is None else "told after %.2f s" % (told - at)))
    return breaches


standin.main(case, os.path.dirname(os.path.abspath(__file__)))
