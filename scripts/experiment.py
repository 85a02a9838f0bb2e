"""Runs magnolia-load on a deployment; scripts/experiment calls it."""
import pathlib
import subprocess
import sys

import yaml

import cluster

FOLDER = cluster.ROOT / "examples" / "experiments"
MEASUREMENTS = cluster.ROOT / "docs" / "measurements"


def deadlines(experiment):
    """Deadline classes of the contracts, from the lengths of the experiment."""
    return [{"up_to_tokens": item["prompt_tokens"] * 11 // 10, "first_token": item["first_token"],
             "finish": item["finish"]} for item in experiment["classes"]]


def main():
    if len(sys.argv) not in (2, 3):
        print(pathlib.Path(sys.argv[0]).name + ": give the name of an experiment", file=sys.stderr)
        return 2
    name = sys.argv[1]
    experiment = yaml.safe_load((FOLDER / f"{name}.yaml").read_text())
    deployment = yaml.safe_load((FOLDER / f"{name}-deployment.yaml").read_text())
    MEASUREMENTS.mkdir(parents=True, exist_ok=True)
    experiment["report"] = sys.argv[2] if len(sys.argv) == 3 else str(MEASUREMENTS / name)
    with cluster.Cluster(deployment) as running:
        for workspace in experiment["workspaces"]:
            status, answer = running.put_contract(
                cluster.make_contract(workspace["name"], workspace["key"], deadlines=deadlines(experiment)))
            if status != 200:
                print(f"a contract was refused: {status} {answer}", file=sys.stderr)
                return 1
        last = experiment["workspaces"][-1]
        running.wait_until(lambda: all(
            cluster.complete(running.entry(*entry), last["name"], last["key"], "part", 1, 10000)["outcome"] == "done"
            for entry in running.entries()), "the contracts")
        settings = running.folder / "experiment.yaml"
        settings.write_text(cluster.to_yaml(experiment))
        code = subprocess.run([str(cluster.BUILD / "magnolia-load"), "--settings", str(settings)],
                              check=False).returncode
        executions = {key: count for key, count in running.executions().items() if key}
        twice = sorted(key for key, count in executions.items() if count > 1)
        print(f"{len(executions)} orders executed, {len(twice)} more than once")
        return 1 if twice else code


if __name__ == "__main__":
    sys.exit(main())
