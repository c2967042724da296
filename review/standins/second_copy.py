"""A rejected request that may run once is sent again over the connection on which its rejection comes twice.

For some seconds, again and again, the servers reject part of their requests although they have room, and half of them
give a second copy of 3 in 100 of their answers, late: where the next answer on the connection is expected. With
TROUBLE=0 they do neither.
"""

import asyncio
import os
import random
import sys

from world import Server, World, run_case

HOST_NAME = "orders.example"
RUN_S = float(os.environ.get("RUN_S", "75"))
# garble, "extra late": share of the answers that come twice, at every second server (share 0.6 at most).
EXTRA_SHARE = 0.03
# srv_grey, "shed all": share of the requests that are rejected.
SHED_SHARE = 0.45
# Duration of both, and time between their beginnings.
TROUBLE_S, PERIOD_S = 5.0, 8.0


async def client(world, until):
    """Sends requests one after the other; comes back once after a refusal, as PROTOCOL.md says."""
    while world.record.now() < until:
        instance = random.choice(world.instances)
        key = random.randrange(65536)
        _, status, pause = await world.request(instance, HOST_NAME, "/orders/new", "POST", key, 1.2, b"one order")
        if status == 503:
            await asyncio.sleep(min(pause, 0.4))
            await world.request(random.choice(world.instances), HOST_NAME, "/orders/new", "POST", key, 0.8, b"one order")
        await asyncio.sleep(random.uniform(0.0, 0.03))


async def spoil(world):
    """Servers hand out second copies for a while, again and again."""
    while True:
        for server in world.servers:
            server.shed_share = SHED_SHARE
        for server in world.servers[::2]:
            server.extra_share = EXTRA_SHARE
        world.record.write("servers begin to reject requests, and every second one to give second copies")
        await asyncio.sleep(TROUBLE_S)
        for server in world.servers:
            server.extra_share = server.shed_share = 0.0
        world.record.write("they stop")
        await asyncio.sleep(PERIOD_S - TROUBLE_S)


async def main(record_path):
    world = World(record_path)
    broken = []
    try:
        await world.store.start()
        zones = ["zone-a", "zone-b", "zone-c"]
        services = [{"name": "orders", "health_path": "/health", "max_connections": 110, "protocol": "h1",
                     "tls": False, "sharded": True, "warm_s": 2.0, "grants": "call"}]
        route = {"name": "r-orders", "path_prefix": "/orders/", "type": "unsafe", "timeout_s": 1.2,
                 "target_latency_s": 0.5, "priority": 1, "service": "orders", "max_attempts": 2}
        await world.configure(services, [{"host": HOST_NAME, "paths": [route]}])
        for number in range(6):
            server = Server(world, f"i-{number:04x}", "orders", zones[number % 3])
            await server.start()
            world.servers.append(server)
        world.start_instances(8, zones)
        await world.wait_ready()
        await asyncio.sleep(5)
        until = world.record.now() + RUN_S
        if os.environ.get("TROUBLE") != "0":
            world.tasks.append(asyncio.create_task(spoil(world)))
        await asyncio.gather(*(client(world, until) for _ in range(int(os.environ.get("CLIENTS", "14")))))
        await asyncio.sleep(2)
        refused = {request: at for request, (at, status) in world.answers.items() if status in (408, 421, 429, 503)}
        for request, at in refused.items():
            for ran_at, server, _ in world.runs.get(request, []):
                broken.append(f"REFUSED: {request} got {world.answers[request][1]} at {at:.3f} s, though server {server}"
                              f" began to run it at {ran_at:.3f} s")
        for request, runs in world.runs.items():
            if len(runs) > 1:
                broken.append(f"TWICE: {request} ran {len(runs)} times: {runs}")
        served = sum(status == 200 for _, status in world.answers.values())
        extras = sum(server.extras for server in world.servers)
        answers = sum(server.answers for server in world.servers)
        lines = [f"{len(world.sent)} requests sent, {served} served, {len(refused)} refused; {answers} answers of servers,"
                 f" {extras} second copies", *broken, f"verdict: {'broken' if broken else 'held'}"]
        for line in lines:
            world.record.write(line)
            print(line)
        if served < len(world.sent) // 4:
            print("too few requests were served")
            return 2
        return 1 if broken else 0
    finally:
        await world.close()


if __name__ == "__main__":
    run_case(main, sys.argv[1])
