"""A planner keeps the old effect of a class after SIGHUP and sends a call again (claim.txt)."""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "peers2"))
import peers  # noqa: E402

USED_AFTER = 1.2  # "Classes appear (used after 1.2 s, perhaps with a stricter effect)"
LEVELS = "--standalone" not in sys.argv

BEFORE = [("open-sim", "repeatable"), ("exam-join", "repeatable")]
WITHOUT = [("open-sim", "repeatable")]
AFTER = [("open-sim", "repeatable"), ("exam-join", "once")]


async def story(record, site):
    server = peers.SetupServer(record, "server", peers.free_port(), short_calls="cc",
                               decide=lambda call, offer: 41 if offer["with"]["class"] == "exam-join" else "accept",
                               answer_after=0.1)
    coordinator = peers.Coordinator(record, peers.free_port())
    await server.start()
    await coordinator.start()
    front, link, unused = peers.free_port(), peers.free_port(), peers.free_port()
    hosts = [peers.host_entry("s-1", server.port)]

    def configure(classes):
        facts = peers.settings(classes)
        return (site.config("forwarder", front, coordinator.port, hosts, facts),
                site.config("planner", unused, coordinator.port, hosts, facts))

    # Without the disruption the class has its effect from the start.
    forwarder_config, planner_config = configure(BEFORE if peers.TROUBLE else AFTER)
    if LEVELS:
        levels = site.write("levels.toml", f'planners = ["127.0.0.1:{link}"]\n')
        programs = [site.start("planner", planner_config, "--levels", str(levels), "--planner", "0"),
                    site.start("forwarder", forwarder_config, "--levels", str(levels), "--forwarder")]
    else:
        programs = [site.start("standalone", forwarder_config)]
    await peers.wait_ready(front)

    gateway = peers.Gateway(record, "gateway", front)
    await gateway.connect()
    traffic = asyncio.create_task(gateway.keep_calling("cc", every=0.2))
    await asyncio.sleep(2.0)
    if peers.TROUBLE:
        for classes in (WITHOUT, AFTER):  # the class vanishes, and appears with a stricter effect
            configure(classes)
            for program in programs:
                site.kill("programs", program, signal.SIGHUP)
            await asyncio.sleep(2.0)
    await asyncio.sleep(USED_AFTER)

    calls = [f"{0x9e00000000000001 + i:016x}" for i in range(5)]
    for call in calls:
        gateway.set_up(call, "exam-join", wait_ms=2400)
        await asyncio.sleep(0.5)
    await asyncio.sleep(3.0)
    traffic.cancel()
    for program in programs:
        site.check_alive(program)

    ran = {call: sum(1 for _, each, _ in server.ran if each == call) for call in calls}
    record("judge", f"set-ups of each call that may have run: {ran}")
    if not any(ran.values()) and not peers.TROUBLE:
        raise peers.CannotRun("no set-up of the class reached the server")
    return [f"call {call} of a class with effect \"once\" was sent {count} times; none of its attempts was proved "
            "never to have run" for call, count in ran.items() if count > 1]


peers.play(FOLDER, story)
