"""The oracles of tools/soak.py. They read only what callers and backend servers
saw and the operator's own writes.

CONFIG: a request sent later than APPLY_S after the acknowledgement of a version
    and handled as only an older one allows; a node that goes back within one
    lifetime; routes that were added later and are served less than a quarter as
    often as the first ones.
DENIED: a request that every configuration that may be in force allows, ended
    with a 3xx or 4xx that no backend server sent.
"""

import collections
import dataclasses
import math

# Bounds of the deployment.
APPLY_S = 2.5
STRETCH_S = 5
DOWNGRADE_SLACK_S = 0.25
STABLE_WINDOW_S = 3
LEAST_ADDED = 20  # Requests on added routes that show whether they are served.
LEAST_ADDED_SHARE = 0.25  # Of the share of the first routes that is served.
# Statuses that promise that the request has not run.
NOT_RUN = (408, 421, 429)


@dataclasses.dataclass
class Version:
    number: int
    routes: dict  # Service by prefix.
    sent: float
    acked: float = math.inf


@dataclasses.dataclass
class Span:
    """A disturbance. `stretches` is True if bounds still hold, stretched."""
    kind: str
    begin: float
    end: float = math.inf
    stretches: bool = False

    def touches(self, begin, end):
        return self.begin <= end and self.end >= begin


@dataclasses.dataclass
class Request:
    id: str
    node: str
    lifetime: int
    prefix: str
    sent: float
    ended: float
    outcome: str  # Status, or "closed", "timeout", "refused".
    service: str = ""  # That ran it; "" if no response of a server was seen.

    def own_error(self):
        """True if a node ended it with a 3xx or 4xx other than a refusal."""
        return (not self.service and self.outcome[0] in "34" and
                int(self.outcome) not in NOT_RUN)


class Oracles:
    def __init__(self, versions, base, store, nodes):
        """`base`: prefixes that every version has. `store`: spans of the
        store. `nodes`: spans by node."""
        self.versions, self.base = versions, base
        self.always = set.intersection(*[set(v.routes) for v in versions])
        self.store, self.nodes = store, nodes
        self.checks = {"config": 0, "config_unstretched": 0, "downgrade": 0,
                       "denied": 0, "added": 0}
        self.violations = []
        # Requests in calm times, and those that were served, by node and by
        # whether their route was added later.
        self.sent, self.served = collections.Counter(), collections.Counter()

    def judge(self, requests):
        seen = {}  # By node and lifetime: first time by index of the version.
        for request in sorted(requests, key=lambda r: r.sent):
            known = [i for i, version in enumerate(self.versions)
                     if version.sent <= request.ended]
            if request.prefix not in self.base and (
                    request.service or request.outcome == "404"):
                self.judge_config(request, known, seen.setdefault(
                    (request.node, request.lifetime), {}))
            self.judge_denied(request, known)
            self.count_served(request, known)
        self.judge_added()

    def calm(self, request):
        return not any(span.touches(request.sent - STABLE_WINDOW_S,
                                    request.ended)
                       for span in self.nodes[request.node])

    def unstable(self, request):
        return any(span.touches(request.sent - STABLE_WINDOW_S, request.ended)
                   for span in self.store)

    def required(self, request):
        """Index of the oldest version that the node may still use, or None if
        the rules set no bound."""
        if not self.calm(request):
            return None
        unstable = self.unstable(request)
        for i in range(len(self.versions) - 1, -1, -1):
            acked = self.versions[i].acked
            if unstable and any(
                    not span.stretches and span.touches(acked, request.ended)
                    for span in self.store):
                continue
            if request.sent > acked + APPLY_S + STRETCH_S * unstable:
                return i
        return None

    def fits(self, request, i):
        return (self.versions[i].routes.get(request.prefix, "") ==
                request.service)

    def judge_config(self, request, known, seen):
        fitting = [i for i in known if self.fits(request, i)]
        newest = max(fitting, default=-1)
        required = self.required(request)
        if required is not None:
            self.checks["config"] += 1
            self.checks["config_unstretched"] += not self.unstable(request)
            if newest < required:
                self.report("CONFIG", request, newest, required, "late")
        shown = max((i for i, ended in seen.items()
                     if ended + DOWNGRADE_SLACK_S < request.sent), default=-1)
        if shown >= 0:
            self.checks["downgrade"] += 1
            if newest < shown:
                self.report("CONFIG", request, newest, shown, "went back")
        if fitting:
            oldest = min(fitting)
            seen[oldest] = min(seen.get(oldest, math.inf), request.ended)

    def judge_denied(self, request, known):
        if request.prefix in self.always:
            self.checks["denied"] += 1
            if request.own_error() and (request.outcome in ("401", "403", "404")
                                        or self.calm(request)):
                self.report("DENIED", request, -1, -1, "always allowed")
            return
        if not request.own_error() or request.outcome == "404":
            return  # A 404 is judged by CONFIG.
        first = self.required(request)
        if first is not None and all(
                request.prefix in self.versions[i].routes
                for i in known if i >= first):
            self.report("DENIED", request, -1, first, "allowed by all in force")

    def count_served(self, request, known):
        first = self.required(request)
        if first is None or self.unstable(request):
            return
        added = request.prefix not in self.base
        if all(request.prefix in self.versions[i].routes
               for i in known if i >= first):
            self.sent[request.node, added] += 1
            self.served[request.node, added] += request.service != ""

    def judge_added(self):
        for node in self.nodes:
            sent, served = self.sent[node, True], self.served[node, True]
            if sent < LEAST_ADDED:
                continue
            self.checks["added"] += 1
            share = self.served[node, False] / max(1, self.sent[node, False])
            if served < LEAST_ADDED_SHARE * share * sent:
                self.violations.append(
                    f"CONFIG (added routes): node={node} serves {served} of "
                    f"{sent}, and {share:.2f} on the first routes")

    def report(self, rule, request, held, required, what):
        def name(i):
            return self.versions[i].number if i >= 0 else "none"
        self.violations.append(
            f"{rule} ({what}): t={request.sent:.3f}..{request.ended:.3f} "
            f"id={request.id} node={request.node}/{request.lifetime} "
            f"path={request.prefix} outcome={request.outcome} "
            f"ran_by={request.service or '-'} as_version={name(held)} "
            f"required_version={name(required)}")
