"""Another writer registers, under the kind `servers`, entries of a service that the configuration doesn't name.

Each lies at the address of a server with keys, which lives and goes on writing its own entry. Some keys are far busier
than others, and which ones changes. With TROUBLE=0 nobody writes such entries.
"""

import asyncio
import os
import random
import sys
import time

from world import Server, World, run_case

HOST_NAME = "reports.example"
RUN_S = 45.0
# Time for which a foreign entry lies in the store, and time between two.
ENTRY_S, PERIOD_S = 3.0, 6.0
# Time between two changes of the busy keys, and their number and share of the requests.
BUSY_S, BUSY_KEYS, BUSY_SHARE = 1.5, 300, 0.5
# OWNER: longest time for which two servers may hold the same keys.
MAX_OVERLAP_S = 0.5


class Busy:
    first = 20000


async def client(world, until):
    while world.record.now() < until:
        is_busy = random.random() < BUSY_SHARE
        key = random.randrange(Busy.first, Busy.first + BUSY_KEYS) if is_busy else random.randrange(65536)
        await world.request(random.choice(world.instances), HOST_NAME, "/reports/one", "GET", key, 1.0)
        await asyncio.sleep(random.uniform(0.0, 0.03))


async def change_busy_keys():
    while True:
        Busy.first = random.randrange(65536 - BUSY_KEYS)
        await asyncio.sleep(BUSY_S)


async def write_foreign_entries(world):
    """One entry at a time, at the address of the server that holds the busy keys."""
    number = 0
    while True:
        middle = Busy.first + BUSY_KEYS // 2
        holders = [server for server in world.servers if server.held_fence(middle) is not None]
        server = holders[0] if holders else world.servers[number % len(world.servers)]
        number += 1
        name = f"other-{number}"
        spec = {"address": f"127.0.0.1:{server.port}", "born": int(time.time() * 1000),
                "info": {"service": "another-teams-service", "version": "v1", "zone": server.zone, "capacity": 3}}
        status = {"state": "ready", "sequence": 1, "warmup_left_s": 0}
        await world.store.put("servers", name, spec, status)
        world.record.write(f"foreign entry {name} at the address of server {server.id}")
        await asyncio.sleep(ENTRY_S)
        await world.store.remove("servers", name)
        world.record.write(f"foreign entry {name} removed")
        await asyncio.sleep(PERIOD_S - ENTRY_S)


async def watch_owners(world, broken):
    """Looks for keys that two servers hold, from what the servers themselves know."""
    since, told = {}, set()
    while True:
        await asyncio.sleep(0.02)
        now, found = time.monotonic(), {}
        for position, one in enumerate(world.servers):
            for two in world.servers[position + 1:]:
                for first_1, last_1, fence_1, until_1 in one.holds:
                    for first_2, last_2, fence_2, until_2 in two.holds:
                        first, last = max(first_1, first_2), min(last_1, last_2)
                        if first <= last and until_1 > now and until_2 > now:
                            found[(one.id, fence_1, two.id, fence_2, first, last)] = None
        since = {overlap: since.get(overlap, now) for overlap in found}
        for overlap, at in since.items():
            if now - at > MAX_OVERLAP_S and overlap not in told:
                told.add(overlap)
                one, fence_1, two, fence_2, first, last = overlap
                text = (f"OWNER: servers {one} (fence {fence_1}) and {two} (fence {fence_2}) have both held the keys"
                        f" {first} to {last} for {now - at:.2f} s")
                began = world.record.now() - (now - at)
                runs = {server for at_s, server, key in sum(world.runs.values(), [])
                        if at_s >= began and first <= key <= last}
                if {one, two} <= runs:
                    text += ", and both began requests on them"
                broken.append(text)
                world.record.write(text)


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
        for number in range(6):
            server = Server(world, f"i-{number:04x}", "reports", zones[number % 3])
            await server.start()
            world.servers.append(server)
        world.start_instances(8, zones)
        await world.wait_ready()
        await asyncio.sleep(4)
        until = world.record.now() + RUN_S
        world.tasks += [asyncio.create_task(change_busy_keys()), asyncio.create_task(watch_owners(world, broken))]
        if os.environ.get("TROUBLE") != "0":
            world.tasks.append(asyncio.create_task(write_foreign_entries(world)))
        await asyncio.gather(*(client(world, until) for _ in range(16)))
        served = sum(status == 200 for _, status in world.answers.values())
        moves = sum(server.handovers for server in world.servers)
        lines = [f"{len(world.sent)} requests sent, {served} served; {moves} releases of keys", *broken,
                 f"verdict: {'broken' if broken else 'held'}"]
        for line in lines:
            world.record.write(line)
            print(line)
        if served < len(world.sent) // 10 or not world.sent:
            print("too few requests were served")
            return 2
        return 1 if broken else 0
    finally:
        await world.close()


if __name__ == "__main__":
    run_case(main, sys.argv[1])
