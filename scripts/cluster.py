"""Runs the programs of a small deployment on loopback; used by the demo, the load experiments and the examples.

A deployment is a dictionary: zones (names in order), engines and services (total numbers, spread over the zones),
entries_per_zone, memory_tokens, time_scale (virtual seconds per real second of the engines), zone_delay_us,
zone_spread_us, client_delay_us (one-way delays; 0 for a direct connection).
Addresses: zone N has 127.0.(10+N).0/24; the platform and the timeline have 127.0.9.1. With delays, zone A reaches
zone B through 127.0.(100+10A+B).0/24, and clients reach zone N through 127.0.(200+N).0/24.
"""
import hashlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build"))
SHARED_ADDRESS = "127.0.9.1"
PLATFORM_PORT = 9000
EVENTS_PORT = 9010
QUERY_PORT = 9011
CALLER_PORT = 8080
PEER_PORT = 8081
METRICS_PORT = 8082
ENGINES_PORT = 9100
ENGINE_CONTROL_PORT = 9099
SERVICES_PORT = 9300
SERVICE_CONTROL_PORT = 9299
MODEL = "model"
STOP_TIMEOUT_S = 20


def call(address, port, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request; returns (status, headers, body)."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


def to_yaml(value):
    """Returns the value as JSON, which is valid YAML."""
    return json.dumps(value, indent=1) + "\n"


class Cluster:
    """The programs of one deployment. A context manager: starts them on entry and stops exactly these processes on
    exit, also after an exception, SIGTERM or SIGINT."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.zones = deployment["zones"]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="magnolia-"))
        self.started = []

    def __enter__(self):
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
        signal.signal(signal.SIGINT, lambda *_: sys.exit(130))
        try:
            self.start_all()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    @staticmethod
    def address(zone, number=1):
        """Returns the address of a host in a zone."""
        return f"127.0.{10 + zone}.{number}"

    def entry(self, zone, number=1):
        """Returns the address and port at which callers reach an entry."""
        if self.deployment.get("client_delay_us", 0) > 0:
            return f"127.0.{200 + zone}.{number}", CALLER_PORT
        return self.address(zone, number), CALLER_PORT

    def reachable_address(self, own_zone, zone, number=1):
        """Returns the address at which processes of own_zone reach a host of a zone, through a link if there is one."""
        if own_zone == zone or self.deployment.get("zone_delay_us", 0) == 0:
            return self.address(zone, number)
        return f"127.0.{100 + 10 * own_zone + zone}.{number}"

    def entries(self):
        """Returns the zone and number of every entry."""
        return [(zone, number + 1) for zone in range(len(self.zones))
                for number in range(self.deployment.get("entries_per_zone", 1))]

    def entry_name(self, zone, number):
        return f"entry-{self.zones[zone]}-{number}"

    def count_in_zone(self, total, zone):
        """Returns how many of `total` machines are in a zone when they are spread evenly."""
        count = len(self.zones)
        return total // count + (1 if zone < total % count else 0)

    def start(self, program, *arguments):
        """Starts one program; its output goes to a log file in the folder of the deployment."""
        number = len(self.started)
        log = open(self.folder / f"{number:02}-{program}.log", "w")
        process = subprocess.Popen([str(BUILD / program), *map(str, arguments)], stdout=log, stderr=log)
        log.close()
        self.started.append((program, process))
        return process

    def start_with_settings(self, program, name, settings):
        """Writes a settings file and starts the program with it."""
        file = self.folder / f"{name}.yaml"
        file.write_text(to_yaml(settings))
        return self.start(program, "--settings", file)

    def process_settings(self, name, zone, metrics_address):
        """Returns the settings that every program has."""
        return {"name": name, "zone": zone, "metrics": {"address": metrics_address, "port": METRICS_PORT},
                "timeline": {"address": SHARED_ADDRESS, "port": EVENTS_PORT},
                "platform": {"address": SHARED_ADDRESS, "port": PLATFORM_PORT}}

    def engine_settings(self, own_zone):
        """Returns the settings of all engines for the entries of a zone."""
        result = []
        for zone, name in enumerate(self.zones):
            for index in range(self.count_in_zone(self.deployment["engines"], zone)):
                result.append({"name": f"{name}-engine-{index + 1}", "zone": name,
                               "address": self.reachable_address(own_zone, zone), "port": ENGINES_PORT + index,
                               "models": [MODEL], "memory_tokens": self.deployment["memory_tokens"]})
        return result

    def service_settings(self, own_zone):
        """Returns the settings of all workers of the plain service `orders` for the entries of a zone."""
        result = []
        for zone, name in enumerate(self.zones):
            for index in range(self.count_in_zone(self.deployment["services"], zone)):
                result.append({"name": "orders", "zone": name, "address": self.reachable_address(own_zone, zone),
                               "port": SERVICES_PORT + index})
        return result

    def entry_settings(self, zone, number):
        """Returns the settings of an entry."""
        own = self.address(zone, number)
        members = [{"name": self.entry_name(*other), "zone": self.zones[other[0]],
                    "address": self.reachable_address(zone, *other), "port": PEER_PORT}
                   for other in self.entries() if other != (zone, number)]
        return {"process": self.process_settings(self.entry_name(zone, number), self.zones[zone], own),
                "listen": {"address": own, "port": CALLER_PORT},
                "peer_listen": {"address": own, "port": PEER_PORT},
                "members": members, "engines": self.engine_settings(zone), "services": self.service_settings(zone)}

    def links(self):
        """Returns the links between zones and from the clients, in the file format of fake-link."""
        delay = self.deployment.get("zone_delay_us", 0)
        spread = self.deployment.get("zone_spread_us", 0)
        result = []

        def add(address, target, port, link_delay, link_spread):
            result.append({"listen": {"address": address, "port": port}, "target": {"address": target, "port": port},
                           "delay_us": link_delay, "spread_us": link_spread})

        for zone in range(len(self.zones)):
            for own in range(len(self.zones)):
                if own == zone or delay == 0:
                    continue
                for host, ports in self.listeners(zone):
                    for port in ports:
                        add(self.reachable_address(own, zone, host), self.address(zone, host), port, delay, spread)
        if self.deployment.get("client_delay_us", 0) > 0:
            for entry in self.entries():
                add(self.entry(*entry)[0], self.address(*entry), CALLER_PORT, self.deployment["client_delay_us"], 0)
        return result

    def listeners(self, zone):
        """Returns the host numbers of a zone with the ports that other zones connect to."""
        engines = self.count_in_zone(self.deployment["engines"], zone)
        services = self.count_in_zone(self.deployment["services"], zone)
        backend_ports = [ENGINES_PORT + index for index in range(engines)]
        backend_ports += [SERVICES_PORT + index for index in range(services)]
        return [(1, backend_ports)] + [(number, [PEER_PORT]) for own, number in self.entries() if own == zone]

    def start_all(self):
        """Starts all programs and waits until every entry is ready."""
        self.start("fake-platform", "--address", SHARED_ADDRESS, "--port", PLATFORM_PORT)
        timeline = {"process": {"name": "timeline", "zone": self.zones[0]},
                    "listen": {"address": SHARED_ADDRESS, "port": EVENTS_PORT},
                    "query": {"address": SHARED_ADDRESS, "port": QUERY_PORT}}
        self.start_with_settings("magnolia-timeline", "timeline", timeline)
        for zone, name in enumerate(self.zones):
            self.start_backend_servers(zone, name)
        self.wait_until(lambda: call(SHARED_ADDRESS, PLATFORM_PORT, "GET", "/v1/objects/contract")[0] == 200,
                        "fake-platform")
        links = self.links()
        if links:
            file = self.folder / "links.json"
            file.write_text(json.dumps(links))
            self.start("fake-link", "--links", file)
        for zone, number in self.entries():
            self.start_with_settings("magnolia-entry", self.entry_name(zone, number),
                                     self.entry_settings(zone, number))
        for zone, number in self.entries():
            self.wait_until(lambda: call(self.address(zone, number), METRICS_PORT, "GET", "/readyz")[0] == 200,
                            self.entry_name(zone, number))

    def start_backend_servers(self, zone, name):
        """Starts the simulated engines and services of a zone."""
        self.start("fake-engine", "--address", self.address(zone), "--engines",
                   self.count_in_zone(self.deployment["engines"], zone), "--first-port", ENGINES_PORT, "--control-port",
                   ENGINE_CONTROL_PORT, "--name", f"{name}-engine-", "--models", MODEL, "--memory-tokens",
                   self.deployment["memory_tokens"], "--time-scale", self.deployment["time_scale"])
        if self.count_in_zone(self.deployment["services"], zone) > 0:
            self.start("fake-service", "--address", self.address(zone), "--services",
                       self.count_in_zone(self.deployment["services"], zone), "--first-port", SERVICES_PORT,
                       "--control-port", SERVICE_CONTROL_PORT)

    def wait_until(self, condition, what, seconds=30):
        """Waits until a condition holds. Raises RuntimeError after the time limit, or at once with the log of a program
        that has ended."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.check_running()
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{what} is not ready after {seconds} s; logs are in {self.folder}")

    def check_running(self):
        """Raises RuntimeError with the log of the first program that has ended."""
        for number, (program, process) in enumerate(self.started):
            if process.poll() is not None:
                log = (self.folder / f"{number:02}-{program}.log").read_text()
                raise RuntimeError(f"{program} ended with code {process.returncode}:\n{log}")

    def put_contract(self, contract, expected_version=0):
        """Writes a contract object if the stored one has the expected version; returns (status, answer)."""
        status, _, body = call(SHARED_ADDRESS, PLATFORM_PORT, "PUT",
                               f"/v1/objects/contract/{contract['workspace']}?expected_version={expected_version}",
                               json.dumps(contract))
        return status, json.loads(body)

    def executions(self):
        """Returns the executions per idempotency key, summed over the workers of the service."""
        total = {}
        for zone in range(len(self.zones)):
            if self.count_in_zone(self.deployment["services"], zone) == 0:
                continue
            _, _, body = call(self.address(zone), SERVICE_CONTROL_PORT, "GET", "/control/counts")
            for worker in json.loads(body):
                for key, count in worker["executions"].items():
                    total[key] = total.get(key, 0) + count
        return total

    def timeline(self, query=""):
        """Returns the events of the timeline as text."""
        return call(SHARED_ADDRESS, QUERY_PORT, "GET", f"/events{query}")[2].decode()

    def stop(self):
        """Stops all programs in reverse order of their start, and kills those that do not stop within STOP_TIMEOUT_S.
        Keeps the folder with the logs if a program ended with an error."""
        for _, process in reversed(self.started):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        end = time.monotonic() + STOP_TIMEOUT_S
        failed = False
        for program, process in reversed(self.started):
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                print(f"{program} did not stop within {STOP_TIMEOUT_S} s; killed", file=sys.stderr)
                process.kill()
                process.wait()
            failed = failed or process.returncode != 0
        self.started = []
        if failed:
            print(f"logs are kept in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_contract(workspace, key, **fields):
    """Returns a contract with generous limits that accepts a key; `fields` override its values."""
    contract = {"workspace": workspace, "key_hashes": [hashlib.sha256(key.encode()).hexdigest()], "models": [MODEL],
                "services": ["orders"], "requests_per_second": 1000, "request_burst": 1000,
                "prompt_tokens_per_second": 10000000, "prompt_token_burst": 20000000,
                "generated_tokens_per_second": 100000, "generated_token_burst": 1000000, "concurrency": 1000}
    contract.update(fields)
    return contract


def complete(entry, workspace, key, prompt, max_tokens, deadline_ms):
    """Sends one streamed completion.

    Returns a dictionary with its outcome, error type, number of tokens, time to the first token and total time in ms.
    """
    address, port = entry
    body = json.dumps({"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": True})
    headers = {"Content-Type": "application/json", "Authorization": f"Bearer {key}", "Magnolia-Workspace": workspace,
               "Magnolia-Deadline-Ms": str(deadline_ms)}
    connection = http.client.HTTPConnection(address, port, timeout=deadline_ms / 1000 + 5)
    start = time.monotonic()
    result = {"outcome": "unknown", "error": "", "tokens": 0, "first_ms": None, "id": ""}
    try:
        connection.request("POST", "/v1/completions", body, headers)
        response = connection.getresponse()
        if response.status == 200:
            read_stream(response, start, result)
        else:
            record_error(json.loads(response.read())["error"], result)
    except (OSError, http.client.HTTPException, ValueError, KeyError) as failure:
        result["error"] = type(failure).__name__
    finally:
        connection.close()
    result["whole_ms"] = (time.monotonic() - start) * 1000
    return result


def record_error(error, result):
    """Stores the outcome and type of an error object in the result."""
    result["outcome"] = error["outcome"]
    result["error"] = error["type"]


def read_stream(response, start, result):
    """Reads the server-sent events of a completion up to [DONE] and stores what they report in the result."""
    for line in response:
        if not line.startswith(b"data: "):
            continue
        data = line[6:].strip()
        if data == b"[DONE]":
            return
        event = json.loads(data)
        result["id"] = event.get("id", result["id"])
        if "error" in event:
            record_error(event["error"], result)
        elif event["choices"][0]["finish_reason"]:
            result["outcome"] = event["outcome"]
            result["tokens"] = event["usage"]["completion_tokens"]
        elif result["first_ms"] is None:
            result["first_ms"] = (time.monotonic() - start) * 1000


def prompt_of(tokens, seed):
    """Returns a prompt with the given number of tokens, four bytes each; the seed selects the text."""
    words = hashlib.sha256(str(seed).encode()).hexdigest()
    return (" ".join(words[i:i + 3] for i in range(0, 60, 3)) + " ").ljust(80)[:80] * (tokens * 4 // 80) \
        + "x" * (tokens * 4 % 80)


def place_order(entry, workspace, key, idempotency_key, created_ms, text):
    """Sends one order, a call that must not be repeated, under an idempotency key.

    Returns a dictionary with its HTTP status, outcome, error type, whether the answer was replayed from the record of
    an earlier call, and the time after which to retry in ms.
    """
    headers = {"Authorization": f"Bearer {key}", "Magnolia-Workspace": workspace, "Idempotency-Key": idempotency_key,
               "Idempotency-Key-Time": str(created_ms), "Content-Type": "application/json"}
    status, answer, body = call(*entry, "POST", "/v1/services/orders/purchase", text, headers)
    error, retry_after_ms = "", 0
    if status != 200:
        try:
            failure = json.loads(body)["error"]
            error, retry_after_ms = failure["type"], failure["retry_after_ms"]
        except (ValueError, KeyError, TypeError):
            error = "no JSON error"
    return {"status": status, "outcome": answer.get("Magnolia-Outcome", ""), "error": error,
            "replayed": answer.get("Magnolia-Replayed", "") == "true", "retry_after_ms": retry_after_ms}
