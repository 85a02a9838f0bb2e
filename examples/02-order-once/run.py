"""Sends an order that must not be repeated to several entries under one idempotency key, with lost answers."""
import concurrent.futures
import pathlib
import sys
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import cluster  # noqa: E402

DEPLOYMENT = {"zones": ["salt-lake", "howrah", "new-town"], "engines": 3, "services": 3, "memory_tokens": 450000,
              "time_scale": 4}


def place(running, zone, key):
    """Sends the order of a key. The time of the key is part of it, so it is the same in every retry."""
    name, created_ms = key
    return cluster.place_order(running.entry(zone), "purchasing", "purchasing-key", name, created_ms,
                               '{"part":"Z80-CPU","count":4}')


def show(title, answers):
    """Prints one line per answer."""
    print(title)
    for got in answers:
        print(f"  status {got['status']} outcome {got['outcome']:<8} {got['error']}"
              f"{' recorded answer' if got['replayed'] else ''}")


def main():
    """Runs the example; returns 1 if an order was executed more than once."""
    keys = [(str(uuid.uuid4()), int(time.time() * 1000)) for _ in range(2)]
    with cluster.Cluster(DEPLOYMENT) as running:
        running.put_contract(cluster.make_contract("purchasing", "purchasing-key"))
        running.wait_until(lambda: all(
            cluster.complete(running.entry(zone), "purchasing", "purchasing-key", "part", 1, 10000)["outcome"] == "done"
            for zone in range(3)), "the contract")
        for zone in range(3):
            cluster.call(running.address(zone), cluster.SERVICE_CONTROL_PORT, "POST",
                         "/control/lost_answers?service=0&count=1")
        show("sent one after the other while the first answers of the service are lost:",
             [place(running, zone, keys[0]) for zone in range(3)])
        with concurrent.futures.ThreadPoolExecutor(3) as pool:
            show("sent at the same time:", pool.map(lambda zone: place(running, zone, keys[1]), range(3)))
        executions = running.executions()
    for name, _ in keys:
        print(f"the service executed {name} {executions.get(name, 0)} time(s)")
    return 0 if all(executions.get(name, 0) <= 1 for name, _ in keys) else 1


if __name__ == "__main__":
    sys.exit(main())
