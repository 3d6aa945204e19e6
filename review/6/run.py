"""The last gateway that a small site has left is killed and started again while it carries the traffic."""

import http.client
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
from site2 import CannotRun, Record, Site, config, control, free_address, get, headers, split, wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RATES = {"draft": 56.0, "status": 4.79, "notice": 3.0}  # Requests a second of the whole site, by route.
BUDGET_S = {"draft": 8.0, "status": 1.5, "notice": 1.5}
TIMEOUT_S = {"draft": 8.0, "status": 0.8, "notice": 0.8}
ABANDON_S = 2.0        # A stream is abandoned after a gap of two seconds, even before its first event.
SLACK_S = 0.5          # The rule: no final answer half a second after the route's timeout-ms.
LEAST, SHARE = 8, 0.25  # The rule: eight or more, and over a quarter.
CONTACT_S = 3.0        # contact-ms: from then on after its start, the gateway is in touch.
LAST = "edge-5"
RESTART_S = 0.5        # "started again after a short delay"
ZONES = ("ebene-hall",) * 3 + ("reduit-hall",) * 2 + ("phoenix-hall",) * 2


class Balancer(threading.Thread):
    """The platform's balancer: asks GET /readyz every second; two misses take a gateway out."""

    def __init__(self, gateways):
        super().__init__(daemon=True)
        self.gateways, self.misses = gateways, {name: 0 for name in gateways}

    def run(self):
        while True:
            for name, addresses in self.gateways.items():
                ready = get(addresses["readiness"], "/readyz", timeout=0.5)[0] == 200
                self.misses[name] = 0 if ready else self.misses[name] + 1
            time.sleep(1)

    def choose(self, rng):
        ready = [name for name in self.gateways if self.misses[name] < 2]
        return rng.choice(ready or list(self.gateways))


class Load:
    """Sends requests at the rates of the site, each on a connection of its own, without repeating any."""

    def __init__(self, gateways, balancer, record):
        self.gateways, self.balancer, self.record = gateways, balancer, record
        self.rng, self.results, self.threads, self.number = random.Random(6), [], [], 0

    def run(self, seconds):
        end = time.monotonic() + seconds
        following = time.monotonic()
        while following < end:
            time.sleep(max(0.0, following - time.monotonic()))
            kind = self.rng.choices(list(RATES), list(RATES.values()))[0]
            self.number += 1
            thread = threading.Thread(target=self.send, daemon=True,
                                      args=(kind, f"{kind}-{self.number}", self.balancer.choose(self.rng)))
            thread.start()
            self.threads.append(thread)
            following += self.rng.expovariate(sum(RATES.values()))

    def send(self, kind, number, gateway):
        started, result = time.monotonic(), None
        connection = http.client.HTTPConnection(*split(self.gateways[gateway]["frontend"]),
                                                timeout=min(ABANDON_S, BUDGET_S[kind]))
        try:
            body = None if kind == "notice" else b"x"
            connection.request("GET" if body is None else "POST", f"/{kind}/{number}", body,
                               headers(number, int(BUDGET_S[kind] * 1000)))
            answer = connection.getresponse()
            answer.read()
            result = str(answer.status)
        except TimeoutError:
            result = "no answer"
        except (OSError, http.client.HTTPException) as error:
            result = f"failed ({type(error).__name__})"
        finally:
            connection.close()
        took = time.monotonic() - started
        self.results.append((started, took, kind, result))
        self.record.write(f"{number} to {gateway} sent {took:.3f} s ago: {result}")

    def wait(self):
        for thread in self.threads:
            thread.join(10)


def report(record, name, results):
    for kind in RATES:
        counts = {}
        for _, _, _, result in (each for each in results if each[2] == kind):
            counts[result] = counts.get(result, 0) + 1
        record.write(f"{name}: {kind}: {counts}")


def main():
    record, site = Record(HERE), Site()
    try:
        control(site.store, {"put": {"op/config": config()}})
        for number in range(1, 4):
            site.replica(f"p-{number}", "portal", capacity=6, zone=ZONES[2 * number])
        for number in range(1, 13):
            site.replica(f"s-{number}", "scribe", capacity=12, zone=ZONES[(number - 1) % 7])
        gateways = {f"edge-{number}": site.gateway_addresses() for number in range(1, 8)}
        zones = dict(zip(gateways, ZONES))
        seeds = [gateways[name]["control-plane"] for name in ("edge-1", "edge-4", "edge-6")]
        port = free_address().rsplit(":", 1)[1]

        def start(name):
            return site.gateway(name, gateways[name], seeds, zone=zones[name], **{"agent-port": port})

        processes = {name: start(name) for name in gateways}
        for name in gateways:
            wait_until(f"{name} is ready", lambda: get(gateways[name]["readiness"], "/readyz")[0] == 200)
        time.sleep(4)
        balancer = Balancer(gateways)
        balancer.start()
        load = Load(gateways, balancer, record)
        record.write(f"traffic begins; trouble: {TROUBLE}")
        for name in gateways:
            if name != LAST:
                processes[name].kill()
        record.write(f"six gateways lose power and stay without; {LAST} is left")
        time.sleep(4)
        load.run(5)
        killed_at = time.monotonic()
        if TROUBLE:
            record.write(f"SIGKILL for {LAST}, which is started again {RESTART_S} s later")
            processes[LAST].kill()
            threading.Timer(RESTART_S, start, (LAST,)).start()
        load.run(20)
        pause_at = time.monotonic()
        load.wait()
        record.write("traffic pauses for 3 s")
        time.sleep(3)
        again_at = time.monotonic()
        load.run(5)
        load.wait()
        before = [each for each in load.results if each[0] + each[1] < killed_at]
        since = [each for each in load.results if killed_at + RESTART_S + CONTACT_S + 0.5 <= each[0] < pause_at]
        report(record, "before", before)
        report(record, "after it, in touch", since)
        report(record, "after the pause", [each for each in load.results if each[0] >= again_at])
        late = [each for each in since if each[1] > TIMEOUT_S[each[2]] and each[2] != "draft"]
        unanswered = [each for each in late if each[1] > TIMEOUT_S[each[2]] + SLACK_S]
        if sum(each[3] == "200" for each in before) < len(before) * 0.9:
            raise CannotRun("the site did not serve before the disruption")
        broken = len(unanswered) >= LEAST and len(unanswered) > SHARE * len(late)
        record.write(f"{len(late)} requests outlasted timeout-ms; {len(unanswered)} of them had no final answer "
                     f"{SLACK_S} s after it")
        record.write("CONFIG was broken" if broken else "CONFIG held")
        return 1 if broken else 0
    except CannotRun as error:
        record.write(f"cannot run: {error}")
        return 2
    finally:
        site.end()


if __name__ == "__main__":
    sys.exit(main())
