// moves: runs the decision code of a move (judges, stages, routes, choice of
// target) over seeds, kinds of fault and conditions on a virtual clock, and
// counts how often a good version is in full by its deadline and a bad one is
// taken back. Two ways to judge run on the same cases: the product's sequential
// comparison, and fixed thresholds, which it was weighed against.

#include <gflags/gflags.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <boost/json.hpp>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>
#include <vector>

#include "fixed_thresholds.h"
#include "kumquatmoor/coordination/canary_analyzer.h"
#include "move_cases.h"
#include "move_report.h"
#include "move_run.h"

DEFINE_uint64(seeds, 12, "Seeds for each deployment, rate and kind.");
DEFINE_uint64(first_seed, 1, "The first of them.");
DEFINE_string(output, "", "File for the JSON report.");
DEFINE_string(only, "", "Only this kind of fault.");
DEFINE_bool(show_misses, true, "Print each case that missed, with its seed.");

namespace kumquatmoor {
namespace {

namespace json = boost::json;

template <typename Judge>
std::vector<CaseResult> RunAll(const std::vector<Case>& cases) {
  std::vector<CaseResult> results(cases.size());
  std::atomic<size_t> next{0};
  std::vector<std::future<void>> workers;
  for (unsigned i = 0; i < std::thread::hardware_concurrency(); ++i) {
    workers.push_back(std::async(std::launch::async, [&] {
      for (size_t at = next++; at < cases.size(); at = next++) {
        results[at] = Run<Judge>(cases[at]).Watch();
      }
    }));
  }
  for (auto& worker : workers) worker.get();
  return results;
}

int Main() {
  const auto cases = AllCases({.seeds = FLAGS_seeds,
                               .first_seed = FLAGS_first_seed,
                               .only = FLAGS_only});
  json::object report;
  ReportResults("fixed thresholds", false, cases,
                RunAll<FixedThresholds>(cases), &report);
  const Summary all = ReportResults("sequential", FLAGS_show_misses, cases,
                                    RunAll<CanaryAnalyzer>(cases), &report);
  if (!FLAGS_output.empty()) {
    std::ofstream(FLAGS_output) << json::serialize(report) << "\n";
  }
  std::cout << fmt::format(
      "moves: good_in_time={}/{} bad_taken_back={}/{} false_recalls={}/{} "
      "p99_harmful={:.5f}\n",
      all.good_in_time.count, all.good_in_time.total, all.bad_taken_back.count,
      all.bad_taken_back.total, all.false_recalls.count,
      all.false_recalls.total, Quantile(all.harmful, 0.99));
  return 0;
}

}  // namespace
}  // namespace kumquatmoor

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  spdlog::set_level(spdlog::level::off);
  return kumquatmoor::Main();
}
