"""Runs the demo with the built programs; called by scripts/demo."""
import sys
import time
import uuid

import cluster

DEPLOYMENT = {"zones": ["salt-lake", "howrah", "new-town"], "engines": 12, "services": 3, "memory_tokens": 450000,
              "time_scale": 20}
LENGTHS = [1000, 4000, 16000, 64000, 128000, 256000, 512000, 1000000]
QUICK_LENGTHS = LENGTHS[:4]
ANSWER_TOKENS = 32
DEADLINE_MS = 600000
DEADLINES = [{"up_to_tokens": 20000, "first_token": 5000, "finish": 30000},
             {"up_to_tokens": 300000, "first_token": 60000, "finish": 120000},
             {"up_to_tokens": 1100000, "first_token": 550000, "finish": DEADLINE_MS}]
WORKSPACE = "repair-shops"
KEY = "demo-key"


def show_prompts(running, lengths):
    """Sends one prompt of each length and prints one line per prompt; returns whether all of them succeeded."""
    print(f"{'prompt tokens':>13}  {'entry':<10} {'outcome':<8} {'first token ms':>14} {'total ms':>9} "
          f"{'answer tokens':>13}  error")
    all_done = True
    for number, tokens in enumerate(lengths):
        zone = number % len(running.zones)
        got = cluster.complete(running.entry(zone), WORKSPACE, KEY, cluster.prompt_of(tokens, number), ANSWER_TOKENS,
                               DEADLINE_MS)
        first = "-" if got["first_ms"] is None else f"{got['first_ms']:.0f}"
        print(f"{tokens:>13}  {running.zones[zone]:<10} {got['outcome']:<8} {first:>14} {got['whole_ms']:>9.0f} "
              f"{got['tokens']:>13}  {got['error']}", flush=True)
        all_done = all_done and got["outcome"] == "done" and got["tokens"] == ANSWER_TOKENS
    return all_done


def show_order(running):
    """Sends one order to two entries under the same idempotency key; returns whether it was executed once."""
    key = str(uuid.uuid4())
    created = int(time.time() * 1000)
    print("\none order that must not be repeated, sent to two entries under one idempotency key:")
    done = True
    for zone in (0, 1):
        got = cluster.place_order(running.entry(zone), WORKSPACE, KEY, key, created, '{"part":"Z80-CPU","count":4}')
        if got["error"] == "key_in_progress":
            print(f"  {running.zones[zone]:<10} status {got['status']} {got['error']}; retried after "
                  f"{got['retry_after_ms']} ms")
            time.sleep(got["retry_after_ms"] / 1000)
            got = cluster.place_order(running.entry(zone), WORKSPACE, KEY, key, created, '{"part":"Z80-CPU","count":4}')
        print(f"  {running.zones[zone]:<10} status {got['status']} outcome {got['outcome']} "
              f"{'recorded answer' if got['replayed'] else ''}{got['error']}")
        done = done and got["status"] == 200
    executions = running.executions().get(key, 0)
    print(f"  the service executed it {executions} time(s)")
    return done and executions == 1


def show_timeline(running):
    """Prints the last events of the timeline."""
    lines = running.timeline("?limit=12").splitlines()
    print("\nlast events of the timeline:")
    print("\n".join(f"  {line}" for line in lines))


def main():
    """Runs all parts of the demo; returns the exit code."""
    lengths = QUICK_LENGTHS if "--quick" in sys.argv else LENGTHS
    with cluster.Cluster(DEPLOYMENT) as running:
        status, answer = running.put_contract(cluster.make_contract(WORKSPACE, KEY, deadlines=DEADLINES))
        if status != 200:
            print(f"the contract was refused: {status} {answer}", file=sys.stderr)
            return 1
        running.wait_until(lambda: is_in_force(running), "the contract")
        prompts_done = show_prompts(running, lengths)
        order_once = show_order(running)
        show_timeline(running)
    print(f"\nprompts: {'all done' if prompts_done else 'NOT all done'}; "
          f"order: {'ran once' if order_once else 'NOT as promised'}; all programs stopped")
    return 0 if prompts_done and order_once else 1


def is_in_force(running):
    """Returns whether every entry accepts the workspace's key."""
    return all(cluster.complete(running.entry(zone), WORKSPACE, KEY, "part", 1, 10000)["outcome"] == "done"
               for zone in range(len(running.zones)))


if __name__ == "__main__":
    sys.exit(main())
