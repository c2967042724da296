"""A server crashes and starts again at once, under the id and at the address that it had, while the store is silent.

The new incarnation knows nothing of before. It may get keys only under a higher fencing token than the earlier one had.
With TROUBLE=0 the store answers and no server crashes.
"""

import asyncio
import os
import random
import sys

from world import Server, World, run_case

HOST_NAME = "reports.example"
SERVERS = 8
# platform_down, silent: duration (the site file has up to 8 s for the whole store), and time between two.
SILENT_S, PERIOD_S, OUTAGES = 5.0, 14.0, 4
# srv_crash: one server of eight (0.125; share 0.14 at most) at a time, and how long it is down (4.5 s at most).
DOWN_S = 0.15


async def client(world, until):
    while world.record.now() < until:
        await world.request(random.choice(world.instances), HOST_NAME, "/reports/one", "GET", random.randrange(65536), 1.0)
        await asyncio.sleep(random.uniform(0.0, 0.05))


class Fences:
    """Highest fencing token that each incarnation of a server has taken, by ranges of keys."""

    def __init__(self, world, broken):
        self.world, self.broken, self.taken = world, broken, []

    def record(self, server, first, last, fence):
        for other, one, two, known in self.taken:
            is_other = other is not server
            if is_other and max(first, one) <= min(last, two) and known >= fence:
                self.broken.append(
                    f"OWNER: server {server.id} born {server.born} took the keys {first} to {last} with fence {fence};"
                    f" server {other.id} born {other.born} had had them with fence {known}")
                self.world.record.write(self.broken[-1])
                break
        if (server, first, last, fence) not in self.taken:
            self.taken.append((server, first, last, fence))


async def restart(world, position):
    old = world.servers[position]
    old.crash()
    world.record.write(f"server {old.id} born {old.born} crashes")
    await asyncio.sleep(DOWN_S)
    new = Server(world, old.id, old.service, old.zone)
    new.on_grant = old.on_grant
    await new.start(old.port)
    world.servers[position] = new
    world.record.write(f"server {new.id} born {new.born} starts at the same address")


async def trouble(world):
    number = 0
    for _ in range(OUTAGES):
        world.store.is_silent = True
        world.record.write("the store falls silent")
        await asyncio.sleep(2.5)
        for _ in range(2):
            await restart(world, number % SERVERS)
            number += 1
            await asyncio.sleep(1.0)
        await asyncio.sleep(SILENT_S - 2.5 - 2 * (1.0 + DOWN_S))
        world.store.is_silent = False
        world.record.write("the store answers again")
        await asyncio.sleep(PERIOD_S - SILENT_S)


async def main(record_path):
    world, broken = World(record_path), []
    try:
        await world.store.start()
        zones = ["zone-a", "zone-b", "zone-c"]
        services = [{"name": "reports", "health_path": "/health", "max_connections": 110, "protocol": "h1",
                     "tls": False, "sharded": True, "warm_s": 2.0, "grants": "call"}]
        route = {"name": "r-reports", "path_prefix": "/reports/", "type": "safe", "timeout_s": 1.0,
                 "target_latency_s": 0.4, "priority": 2, "service": "reports", "max_attempts": 2}
        await world.configure(services, [{"host": HOST_NAME, "paths": [route]}])
        fences = Fences(world, broken)
        for number in range(SERVERS):
            server = Server(world, f"i-{number:04x}", "reports", zones[number % 3])
            server.on_grant = fences.record
            await server.start()
            world.servers.append(server)
        world.start_instances(8, zones)
        await world.wait_ready()
        await asyncio.sleep(5)
        until = world.record.now() + OUTAGES * PERIOD_S
        clients = [asyncio.create_task(client(world, until)) for _ in range(8)]
        if os.environ.get("TROUBLE") != "0":
            await trouble(world)
        await asyncio.gather(*clients)
        served = sum(status == 200 for _, status in world.answers.values())
        lines = [f"{len(world.sent)} requests sent, {served} served", *dict.fromkeys(broken),
                 f"verdict: {'broken' if broken else 'held'}"]
        for line in lines:
            world.record.write(line)
            print(line)
        if served < len(world.sent) // 4 or not world.sent:
            print("too few requests were served")
            return 2
        return 1 if broken else 0
    finally:
        await world.close()


if __name__ == "__main__":
    run_case(main, sys.argv[1])
