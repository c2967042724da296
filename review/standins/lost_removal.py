"""The servers of a service are replaced one after the other; some leave without reporting `draining`.

The entry of such a server is removed; it goes on serving for `drain_s` and some time longer, then it exits. The store's
event of a removal holds the object as it was last. With TROUBLE=0 no server leaves.
"""

import asyncio
import os
import random
import sys

from world import Server, World, run_case

HOST_NAME = "filings.example"
SERVERS = 7
DRAIN_S = 2.0
# Time for which a server serves on after its entry was removed.
SERVE_S = 5.0
# release: time between two replacements, and their number (share 0.45 of the servers, one at a time).
GAP_S, LEAVING = 6.0, 3


async def client(world, until):
    while world.record.now() < until:
        await world.request(random.choice(world.instances), HOST_NAME, "/filings/new", "POST", None, 1.2, b"one filing")
        await asyncio.sleep(random.uniform(0.0, 0.05))


async def main(record_path):
    world, late, cut = World(record_path), [], []
    try:
        world.store.keeps_last_revision = True
        await world.store.start()
        zones = ["zone-a", "zone-b", "zone-c"]
        services = [{"name": "filings", "health_path": "/health", "max_connections": 110, "protocol": "h1",
                     "tls": False},
                    {"name": "reports", "health_path": "/health", "max_connections": 110, "protocol": "h1",
                     "tls": False, "sharded": True, "warm_s": 2.0, "grants": "call"}]
        route = {"name": "r-filings", "path_prefix": "/filings/", "type": "unsafe", "timeout_s": 1.2,
                 "target_latency_s": 0.5, "priority": 1, "service": "filings", "max_attempts": 2}
        await world.configure(services, [{"host": HOST_NAME, "paths": [route]}])
        removed_at = {}

        def check(server, request):
            at = removed_at.get(server.id)
            sent_at = world.sent[request][0]
            if at is not None and sent_at > at + DRAIN_S:
                late.append(f"DRAIN: request {request} reached server {server.id} {world.record.now() - at:.2f} s after the"
                            f" store had acknowledged that it is gone")

        async def start(number):
            server = Server(world, f"i-{number:04x}", "filings", zones[number % 3], keyed=False, work_s=(0.1, 0.3))
            server.on_run = check
            await server.start()
            world.servers.append(server)

        async def replace():
            for number in range(LEAVING):
                await start(SERVERS + number)
                await asyncio.sleep(2.0)
                old = world.servers[number]
                await old.leave()
                removed_at[old.id] = world.record.now()
                world.record.write(f"the entry of server {old.id} is removed")
                await asyncio.sleep(SERVE_S)
                running = [request for request, runs in world.runs.items()
                           if runs[-1][1] == old.id and request not in world.answers]
                old.crash()
                world.record.write(f"server {old.id} exits with {len(running)} requests running")
                cut.extend(running)
                await asyncio.sleep(max(0.0, GAP_S - SERVE_S))

        for number in range(SERVERS):
            await start(number)
        # A service with keys, as each deployment has one: its leader and two others watch the store for all.
        for number in range(3):
            await Server(world, f"k-{number:04x}", "reports", zones[number]).start()
        world.start_instances(8, zones)
        await world.wait_ready()
        await asyncio.sleep(4)
        until = world.record.now() + LEAVING * (GAP_S + 2) + 3
        clients = [asyncio.create_task(client(world, until)) for _ in range(16)]
        if os.environ.get("TROUBLE") != "0":
            await replace()
        await asyncio.gather(*clients)
        served = sum(status == 200 for _, status in world.answers.values())
        lost = [request for request in cut if world.answers.get(request, (0, 0))[1] != 200]
        lines = [f"{len(world.sent)} requests sent, {served} served", *late[:10], f"{len(late)} requests too late;"
                 f" {len(lost)} requests that may run once were cut by the exit of their server: {' '.join(lost[:5])}",
                 f"verdict: {'broken' if late else 'held'}"]
        for line in lines:
            world.record.write(line)
            print(line)
        if served < len(world.sent) // 4 or not world.sent:
            print("too few requests were served")
            return 2
        return 1 if late else 0
    finally:
        await world.close()


if __name__ == "__main__":
    run_case(main, sys.argv[1])
