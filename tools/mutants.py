"""Mutation tests: changes one place of the source at a time so that a guarantee
breaks, and checks that the test of that guarantee fails.

    mutants.py [NAME ...]    all mutants without a name

Works on a clone of the repository in a temporary directory, so it tests the
last commit.
"""

import os
import shutil
import subprocess
import sys
import tempfile

from cluster import ROOT

# (name, file, text that occurs once in it, replacement, ctest that must fail)
MUTANTS = [
    ("retries a payment that may have run", "src/protocol/verdict.cc",
     "return verdict == Verdict::kMayHaveRun && idempotent;",
     "return verdict == Verdict::kMayHaveRun;",
     "proof_at_most_one_run"),
    ("reports NotRun after a lost answer", "src/transport/exchange.cc",
     'SetFailure(&result, Verdict::kMayHaveRun, "no whole answer", error);',
     'SetFailure(&result, Verdict::kNotRun, "no whole answer", error);',
     "proof_at_most_one_run"),
    ("applies an older revision", "src/coordination/replica.cc",
     "if (batch.revision() < m_batch->revision()) return OfferOutcome::kOld;",
     "", "coordination"),
    ("applies a damaged batch", "src/state/batch.cc",
     'if (goal != kFullWeight) report("weights do not add up");', "",
     "proof_damaged_batch_is_refused_whole"),
    ("routes to a target that is not live", "src/state/routes.cc",
     "if (member.status() != ALIVE) continue;", "", "state"),
    # Both the callers' nodes (routing) and the target's node (refusal) enforce
    # a recall, and either one is enough. The mutant clears the recalls that
    # both read.
    ("ignores recalls", "src/state/routes.cc",
     "const auto& progress = marks.Progress(service, config->move_revision());",
     "auto progress = marks.Progress(service, config->move_revision());\n"
     "  progress.recalls.clear();",
     "proof_bad_version_is_taken_back"),
    ("never detects a regression", "src/coordination/sequential_test.cc",
     "return *std::max_element(m_sums.begin(), m_sums.end());", "return 0;",
     "proof_bad_version_is_taken_back"),
    ("forwards the answer to another request", "src/transport/exchange.cc",
     "return echoed->value() != request_id;",
     "return echoed->value() == request_id && false;", "proof_answers_are_whole_and_own"),
    ("ignores the host's link", "src/node/admission.cc",
     "if (!link.in_time) {", "if (false) {", "node"),
    ("completes a streamed response that broke off", "src/transport/relay.cc",
     "parser, &chunk);\n    if (error) co_return false;",
     "parser, &chunk);\n    if (error) co_return true;", "node"),
    ("admits while draining", "src/node/admission.cc",
     "if (m_draining || leaving) return kDraining;", "",
     "node"),
    ("sends to a backend server that is leaving", "src/node/admission.cc",
     "if (m_draining || leaving) return kDraining;", "",
     "proof_drained_backend_gets_nothing_new"),
    ("stops with requests in flight", "src/node/proxy.cc",
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
    ("routes to an excluded target", "src/state/routes.cc",
     "return progress.excluded.count(target.member_id) > 0;",
     "return progress.excluded.count(target.member_id) > 1;", "state"),
    ("excludes no target", "src/coordination/canary_analyzer.cc",
     "if (may_exclude && !outlier.empty() &&",
     "if (may_exclude && outlier.empty() &&",
     "coordination"),
    ("compares errors only the first time", "src/coordination/canary_analyzer.cc",
     "if (!tests->errors.Exceeded()) tests->exceeded_at.reset();", "",
     "coordination"),
    ("accepts an impossible incarnation", "src/coordination/member_list.cc",
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
    directory = tempfile.mkdtemp(prefix="kumquatmoor-mutants-")
    tree = os.path.join(directory, "tree")
    try:
        run("git", "clone", "-q", ROOT, tree, cwd=directory)
        # Warnings are off because a mutant may leave a parameter unused.
        run("cmake", "-S", ".", "-B", "build", "-G", "Ninja",
            "-DCMAKE_CXX_FLAGS=-w", cwd=tree)
        build(tree)
        for name, path, text, replacement, test in chosen:
            file_path = os.path.join(tree, path)
            with open(file_path) as file:
                original = file.read()
            if original.count(text) != 1:
                raise RuntimeError(f"{name}: {path} has changed")
            with open(file_path, "w") as file:
                file.write(original.replace(text, replacement))
            build(tree)
            result = run("ctest", "--test-dir", "build", "-R", f"^{test}$",
                         cwd=tree)
            caught = result.returncode != 0
            print(f"{'caught' if caught else 'SURVIVED'}: {name} ({test})",
                  flush=True)
            if not caught:
                survivors.append(name)
            with open(file_path, "w") as file:
                file.write(original)
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    print(f"mutants: {len(chosen)} made, {len(chosen) - len(survivors)} "
          f"caught, {len(survivors)} survived")
    sys.exit(1 if survivors else 0)


if __name__ == "__main__":
    main()
