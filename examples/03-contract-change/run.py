"""Creates a contract, changes it, attempts a conflicting change and retires it."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import cluster  # noqa: E402

DEPLOYMENT = {"zones": ["salt-lake", "howrah", "new-town"], "engines": 3, "services": 3, "memory_tokens": 450000,
              "time_scale": 4}


def answers(running, key):
    """Returns the answer of each entry to a caller with the key: an outcome, or the type of the error."""
    got = [cluster.complete(running.entry(zone), "datasheets", key, "part", 1, 10000) for zone in range(3)]
    return [item["error"] or item["outcome"] for item in got]


def wait_for(running, what, key, expected):
    """Waits until all entries give the expected answer and prints how long it took."""
    start = time.monotonic()
    running.wait_until(lambda: answers(running, key) == [expected] * 3, what)
    print(f"{what}: in force at every entry after {time.monotonic() - start:.2f} s")


def main():
    """Runs the example; returns 0 if the conflicting change was refused."""
    with cluster.Cluster(DEPLOYMENT) as running:
        _, created = running.put_contract(cluster.make_contract("datasheets", "first-key"))
        wait_for(running, "created", "first-key", "done")
        _, changed = running.put_contract(cluster.make_contract("datasheets", "second-key"), created["version"])
        wait_for(running, "key changed", "second-key", "done")
        wait_for(running, "former key refused", "first-key", "unauthorized")
        status, _ = running.put_contract(cluster.make_contract("datasheets", "third-key"), created["version"])
        print(f"a change of an outdated version is refused with status {status}")
        running.put_contract(cluster.make_contract("datasheets", "second-key", state="retired"), changed["version"])
        wait_for(running, "retired", "second-key", "workspace_retired")
    return 0 if status == 409 else 1


if __name__ == "__main__":
    sys.exit(main())
