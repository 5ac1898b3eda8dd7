"""Breaks the code on purpose, one place at a time, and checks that the test
that guards the promise fails.

    mutants.py [NAME ...]

Works on a copy of the tree in a temporary folder.
"""

import os
import shutil
import subprocess
import sys
import tempfile

from cluster import ROOT

# (name, file, text, replacement, ctest that must fail)
MUTANTS = [
    ("retries a payment that may have run", "src/protocol/verdict.cc",
     "return verdict == Verdict::kMayHaveRun && idempotent;",
     "return verdict == Verdict::kMayHaveRun;",
     "proof_at_most_one_run"),
    ("tells NotRun after a lost answer", "src/transport/exchange.cc",
     'GiveUp(&result, Verdict::kMayHaveRun, "no whole answer", error);',
     'GiveUp(&result, Verdict::kNotRun, "no whole answer", error);',
     "proof_at_most_one_run"),
    ("applies an older revision", "src/coordination/replica.cc",
     "if (batch.revision() < m_batch->revision()) return OfferOutcome::kOld;",
     "", "coordination"),
    ("applies a damaged batch", "src/state/batch.cc",
     'if (goal != kFullWeight) report("weights do not add up");', "",
     "proof_damaged_batch_is_refused_whole"),
    ("routes to a target that is not live", "src/state/routes.cc",
     "if (member.status() != ALIVE) continue;", "", "state"),
    # Callers' nodes route by it and the target's node refuses by it; either
    # alone is enough, so both are broken: what both read is lost.
    ("lets a recall lapse", "src/state/routes.cc",
     "const auto& progress = marks.Progress(service, config->move_revision());",
     "auto progress = marks.Progress(service, config->move_revision());\n"
     "  progress.recalls.clear();",
     "proof_bad_version_is_taken_back"),
    ("never judges", "src/coordination/sequential_test.cc",
     "return *std::max_element(m_sums.begin(), m_sums.end());", "return 0;",
     "proof_bad_version_is_taken_back"),
    ("passes on another request's answer", "src/transport/exchange.cc",
     "return echoed->value() != request_id;",
     "return echoed->value() == request_id && false;", "proof_answers_are_whole_and_own"),
    ("admits while draining", "src/node/admission.cc",
     "if (m_draining || entry.backend.draining) return kDraining;", "",
     "node"),
    ("sends to a backend server that is leaving", "src/node/admission.cc",
     "if (m_draining || entry.backend.draining) return kDraining;", "",
     "proof_drained_backend_gets_nothing_new"),
    ("ends with requests in flight", "src/node/proxy.cc",
     "while (busy() && Clock::now() < m_drain_end) {",
     "while (false) {", "proof_shutdown_cuts_nothing_off"),
    ("routes into an unreachable zone", "src/coordination/replica_probe.cc",
     "return unreachable.count(member.zone()) > 0;",
     "return unreachable.count(member.zone()) > 1;",
     "coordination"),
    ("sends moves into an unreachable zone",
     "src/coordination/replica_probe.cc",
     "if (unreachable.count(member->zone()) == 0) members.push_back(*member);",
     "members.push_back(*member);", "coordination"),
    ("overwrites another operator's row", "src/state/table.cc",
     "if (mine_changed && theirs_changed && !same(my_row, their_row)) {",
     "if (mine_changed && theirs_changed && false) {",
     "proof_operators_race"),
    ("routes to a blamed target", "src/state/routes.cc",
     "return progress.excluded.count(target.member_id) > 0;",
     "return progress.excluded.count(target.member_id) > 1;", "state"),
    ("blames no target", "src/coordination/canary_analyzer.cc",
     "if (may_exclude && !outlier.empty() &&",
     "if (may_exclude && outlier.empty() &&",
     "coordination"),
    ("compares errors only the first time", "src/coordination/canary_analyzer.cc",
     "if (!tests->errors.Exceeded()) tests->exceeded_at.reset();", "",
     "coordination"),
    ("takes an impossible incarnation", "src/coordination/member_list.cc",
     "record.incarnation() <= kHighestIncarnation &&", "", "coordination"),
    ("tries a full target again", "src/state/picker.cc",
     "return not_full.empty() ? targets : not_full;", "return targets;",
     "state"),
    ("does not push batches", "src/coordination/replica.cc",
     'QueueUpdate(std::move(rumour), "batch");', "", "coordination"),
]


def run(*command, cwd):
    return subprocess.run(command, cwd=cwd, capture_output=True, text=True,
                          check=False)


def build(tree):
    result = run("cmake", "--build", "build", cwd=tree)
    if result.returncode != 0:
        print(result.stdout[-2000:])
        raise RuntimeError("the mutant does not build")


def main():
    chosen = [m for m in MUTANTS if not sys.argv[1:] or m[0] in sys.argv[1:]]
    survivors = []
    folder = tempfile.mkdtemp(prefix="kumquatmoor-mutants-")
    tree = os.path.join(folder, "tree")
    try:
        run("git", "clone", "-q", ROOT, tree, cwd=folder)
        # A mutant may leave a parameter unused; that is no reason to fail.
        run("cmake", "-S", ".", "-B", "build", "-G", "Ninja",
            "-DCMAKE_CXX_FLAGS=-w", cwd=tree)
        build(tree)
        for name, path, text, replacement, test in chosen:
            file_path = os.path.join(tree, path)
            with open(file_path) as file:
                good = file.read()
            if good.count(text) != 1:
                raise RuntimeError(f"{name}: {path} has changed")
            with open(file_path, "w") as file:
                file.write(good.replace(text, replacement))
            build(tree)
            result = run("ctest", "--test-dir", "build", "-R", f"^{test}$",
                         cwd=tree)
            caught = result.returncode != 0
            print(f"{'caught' if caught else 'SURVIVED'}: {name} ({test})",
                  flush=True)
            if not caught:
                survivors.append(name)
            with open(file_path, "w") as file:
                file.write(good)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print(f"mutants: {len(chosen)} made, {len(chosen) - len(survivors)} "
          f"caught, {len(survivors)} survived")
    sys.exit(1 if survivors else 0)


if __name__ == "__main__":
    main()
