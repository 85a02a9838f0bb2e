"""Sends one streamed prompt through a small deployment and prints its events."""
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import cluster  # noqa: E402

DEPLOYMENT = {"zones": ["salt-lake", "howrah", "new-town"], "engines": 3, "services": 3, "memory_tokens": 450000,
              "time_scale": 4}


def main():
    """Runs the example; returns the exit code."""
    with cluster.Cluster(DEPLOYMENT) as running:
        running.put_contract(cluster.make_contract("counter", "counter-key"))
        running.wait_until(
            lambda: cluster.complete(running.entry(0), "counter", "counter-key", "part", 1, 10000)["outcome"] == "done",
            "the contract")
        address, port = running.entry(0)
        body = running.folder / "prompt.json"
        body.write_text(cluster.to_yaml({"model": cluster.MODEL, "prompt": cluster.prompt_of(1000, 1),
                                         "max_tokens": 8, "stream": True}))
        subprocess.run(["curl", "--silent", "--show-error", "--include", f"http://{address}:{port}/v1/completions",
                        "--header", "Authorization: Bearer counter-key", "--header", "Magnolia-Workspace: counter",
                        "--header", "Magnolia-Deadline-Ms: 10000", "--data-binary", f"@{body}"], check=True)
        print("\nevents of the workspace:")
        print(running.timeline("?workspace=counter&limit=10"), end="")
    return 0


if __name__ == "__main__":
    sys.exit(main())
