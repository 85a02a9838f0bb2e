"""Runs a load experiment with magnolia-load on a deployment on loopback; called by scripts/experiment."""
import pathlib
import subprocess
import sys

import yaml

import cluster

FOLDER = cluster.ROOT / "examples" / "experiments"
MEASUREMENTS = cluster.ROOT / "docs" / "measurements"


def deadlines(experiment):
    """Returns the deadline classes of the contracts, made from the length classes of the experiment. Each class accepts
    prompts up to 10% longer than stated."""
    return [{"up_to_tokens": item["prompt_tokens"] * 11 // 10, "first_token": item["first_token"],
             "finish": item["finish"]} for item in experiment["classes"]]


def main():
    """Runs the experiment; returns 2 for wrong arguments, 1 if a contract was refused or an order was executed more
    than once, else the exit code of magnolia-load."""
    if len(sys.argv) not in (2, 3):
        print(pathlib.Path(sys.argv[0]).name + ": usage: scripts/experiment NAME [OUTPUT]", file=sys.stderr)
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
