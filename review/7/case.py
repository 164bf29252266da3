"""A call that failed when its planner was cut off gets a second final answer (claim.txt)."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "peers2"))
import peers  # noqa: E402

CUT_FOR = 4.0  # "for 6 s a zone is partitioned"
CALLS = 4


async def story(record, site):
    server = peers.SetupServer(record, "server", peers.free_port(), answer_after=0.2, short_calls="cc")
    coordinator = peers.Coordinator(record, peers.free_port())
    front, link = peers.free_port(), peers.free_port()
    proxy = peers.LinkProxy(record, "proxy", peers.free_port(), link)
    for each in (server, coordinator, proxy):
        await each.start()
    hosts = [peers.host_entry("s-1", server.port)]
    facts = peers.settings(peers.ALL_REPEATABLE)
    planner_config = site.config("planner", peers.free_port(), coordinator.port, hosts, facts)
    forwarder_config = site.config("forwarder", front, coordinator.port, hosts, facts)
    own = site.write("levels.toml", f'planners = ["127.0.0.1:{link}"]\n')
    through_proxy = site.write("levels-forwarder.toml", f'planners = ["127.0.0.1:{proxy.port}"]\n')
    planner = site.start("planner", planner_config, "--levels", str(own), "--planner", "0")
    forwarder = site.start("forwarder", forwarder_config, "--levels", str(through_proxy), "--forwarder")
    await peers.wait_ready(front)

    gateway = peers.Gateway(record, "gateway", front)
    await gateway.connect()
    traffic = asyncio.create_task(gateway.keep_calling("cc", every=0.3))
    await asyncio.sleep(3.0)
    traffic.cancel()
    await asyncio.sleep(1.5)

    calls = [f"{0xa100000000000001 + i:016x}" for i in range(CALLS)]
    for call in calls:
        gateway.set_up(call, wait_ms=3000)
    await asyncio.sleep(0.1)  # the set-ups have reached the setup server
    if peers.TROUBLE:
        proxy.cut()
    await asyncio.sleep(CUT_FOR / 2)
    for call in list(server.standing):  # the calls, which stand by now, come to their end
        if call in calls:
            server.end(call)
    await asyncio.sleep(CUT_FOR / 2)
    if peers.TROUBLE:
        proxy.mend()
    await asyncio.sleep(10.0)
    site.check_alive(planner)
    site.check_alive(forwarder)

    broken = []
    for call in calls:
        heard = [each for each in gateway.heard if each[1] == call and each[2] in (9, 12)]
        said = ", ".join(("answer" if kind == 9 else f"release with cause {cause}") +
                         f" after {at - gateway.sent[call]:.2f} s" for at, _, kind, cause in heard)
        record("judge", f"call {call}: {said or 'nothing'}")
        # One final answer; behind an answer, the release of the call that stood.
        allowed = 2 if heard and heard[0][2] == 9 else 1
        if not heard:
            broken.append(f"call {call}: no final answer")
        elif len(heard) > allowed:
            broken.append(f"call {call}: more than one final answer: {said}")
    return broken


peers.play(FOLDER, story)
