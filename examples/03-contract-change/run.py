"""A contract is created, changed, raced for and retired."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import cluster  # noqa: E402

DEPLOYMENT = {"zones": ["salt-lake", "howrah", "new-town"], "engines": 3, "services": 3, "memory_tokens": 450000,
              "time_scale": 4}


def answers(running, key):
    """What each entry tells a caller with the key: an outcome, or the type of the error."""
    got = [cluster.complete(running.entry(zone), "datasheets", key, "part", 1, 10000) for zone in range(3)]
    return [item["error"] or item["outcome"] for item in got]


def wait_for(running, what, key, expected):
    began = time.monotonic()
    running.wait_until(lambda: answers(running, key) == [expected] * 3, what)
    print(f"{what}: in force at every entry after {time.monotonic() - began:.2f} s")


def main():
    with cluster.Cluster(DEPLOYMENT) as running:
        _, created = running.put_contract(cluster.make_contract("datasheets", "first-key"))
        wait_for(running, "created", "first-key", "done")
        _, changed = running.put_contract(cluster.make_contract("datasheets", "second-key"), created["version"])
        wait_for(running, "key changed", "second-key", "done")
        wait_for(running, "former key refused", "first-key", "unauthorized")
        status, _ = running.put_contract(cluster.make_contract("datasheets", "third-key"), created["version"])
        print(f"a change on the former version is refused with {status}")
        running.put_contract(cluster.make_contract("datasheets", "second-key", state="retired"), changed["version"])
        wait_for(running, "retired", "second-key", "workspace_retired")
    return 0 if status == 409 else 1


if __name__ == "__main__":
    sys.exit(main())
