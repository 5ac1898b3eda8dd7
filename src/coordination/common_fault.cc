// Whether a fault is one of all versions. The baseline versions' errors since
// the counts that raised the score began are compared with the canary
// version's. Where the baseline versions have too few requests of that time,
// the analyzer leaves the decision to analyzers that see more targets, or waits
// a while for the end of the fault.

#include <algorithm>

#include "kumquatmoor/coordination/canary_analyzer.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

// Requests to the baseline versions that an error comparison needs, and the
// bounds of the time that the analyzer waits for them. Failures are reported
// within 250 ms, so those of the baseline versions have arrived after the
// minimum.
constexpr uint64_t kMinComparedRequests = 4;
constexpr std::chrono::milliseconds kMinComparisonWait{500};
constexpr std::chrono::milliseconds kMaxComparisonWait{2'000};
// Time without a request to the baseline versions after which the analyzer does
// not wait for their counts.
constexpr std::chrono::milliseconds kBaselineIdleTime{1'500};
// A fault is common to all versions only if the baseline versions' error rate
// is at least this fraction of the canary version's.
constexpr double kCommonFaultFraction = 0.5;
// A fault is common to all versions only if the baseline versions' error rate
// has risen by more than this factor since before the test.
constexpr double kSuddenRiseFactor = 2;
// Time for which a short move waits for the end of a fault that may be common
// to all versions, where no baseline version gets requests any more. A version
// whose fault lasts longer is recalled.
constexpr std::chrono::milliseconds kMaxUnclearFaultTime{4'000};
// Time for which an analyzer that sees few of the targets leaves the decision
// on such a fault to those that see more. It decides in the end, as they may
// fail.
constexpr std::chrono::milliseconds kMaxDeferral{5'000};
// Least fraction of the reachable canary slots whose reports an analyzer needs
// to decide on such a fault itself.
constexpr double kMinSeenSlots = 0.75;
// A fault shows in a number of requests if at least this many of them would
// fail at its rate. Fewer may all succeed by chance.
constexpr double kFailuresThatWouldShow = 10;

}  // namespace

CanaryAnalyzer::RequestCount CanaryAnalyzer::BaselineRequestsSince(
    const std::string& route, const RouteTests& tests) const {
  const auto found = m_baseline_counts.back().find(route);
  if (found == m_baseline_counts.back().end()) return {};
  return {.total = found->second.total - tests.baseline_at_start.total,
          .errors = found->second.errors - tests.baseline_at_start.errors};
}

// A fault that begins on all versions at once is not the canary version's. An
// error rate that the baseline versions always have does not count here, since
// it is in the baseline already.
bool CanaryAnalyzer::IsCommonFault(const std::string& route,
                                   const RouteTests& tests) const {
  const RequestCount baseline = BaselineRequestsSince(route, tests);
  const auto total = static_cast<double>(baseline.total);
  const auto errors = static_cast<double>(baseline.errors);
  const auto requests = static_cast<double>(tests.errors.Requests());
  const auto failures = static_cast<double>(tests.errors.Failures());
  const auto total_before = static_cast<double>(tests.baseline_at_start.total);
  const auto errors_before =
      static_cast<double>(tests.baseline_at_start.errors);
  const bool similar_rate =
      errors * requests >= kCommonFaultFraction * failures * total;
  const bool sudden =
      errors * total_before > kSuddenRiseFactor * errors_before * total;
  return errors > 0 && similar_rate && (sudden || total_before <= 0);
}

bool CanaryAnalyzer::BaselineHasReported(const std::string& route,
                                         const RouteTests& tests,
                                         TimePoint now) const {
  const TimePoint since = *tests.exceeded_at;
  const bool timed_out = now - since >= kMaxComparisonWait;
  const bool baseline_idle = now - m_baseline_request_at >= kBaselineIdleTime;
  if (timed_out || baseline_idle) return true;
  return now - since >= kMinComparisonWait &&
         BaselineRequestsSince(route, tests).total >= kMinComparedRequests;
}

// In a short move the baseline versions get no requests any more from the
// moment at which the last zones follow, in the pilot zone sooner. From then on
// a fault of all versions, such as that of a service which all of them call,
// looks like one of the canary version. An analyzer that sees one zone leaves
// it to those that receive the reports of others, whose baseline may still have
// requests. Where none has, a version that has proven itself at its full share
// gets some time: the fault of a service that it calls may end, once.
milliseconds CanaryAnalyzer::TimeWithoutComparison(
    const std::string& route, const RouteTests& tests,
    const ReachableTargetCounts& targets) const {
  const RequestCount baseline = BaselineRequestsSince(route, tests);
  const bool has_comparison = tests.FaultWouldShowIn(baseline.total);
  if (!m_options.uses_pilot || has_comparison) return milliseconds(0);
  if (!SeesMostTargets(targets)) return kMaxDeferral;
  const bool is_common = tests.errors.OutlierTarget().empty();
  const bool may_wait = tests.was_proven && !tests.was_pardoned && is_common;
  return may_wait ? kMaxUnclearFaultTime : milliseconds(0);
}

bool CanaryAnalyzer::SeesMostTargets(
    const ReachableTargetCounts& targets) const {
  double seen = 0;
  for (const auto& [key, reporter] : m_reporters) {
    const auto& [version, node] = key;
    if (!IsCanaryVersion(version) || m_excluded.count(node) > 0) continue;
    seen += reporter.slots;
  }
  return seen >= kMinSeenSlots * targets.canary_slots;
}

bool CanaryAnalyzer::IsProven(const MoveProgress& progress,
                              const ReachableTargetCounts& targets) const {
  if (!HasPilot(targets)) return m_settled;
  return progress.settled.count(targets.pilot_zone) > 0;
}

void CanaryAnalyzer::RouteTests::CountSinceFailure(const OutcomeTally& tally,
                                                   TimePoint now) {
  if (tally.errors > 0) {
    failed_at = now;
    requests_since_failure = 0;
  } else if (failed_at != now) {
    requests_since_failure += tally.total;
  }
}

bool CanaryAnalyzer::RouteTests::FaultWouldShowIn(uint64_t requests) const {
  const auto failures = static_cast<double>(errors.Failures());
  return static_cast<double>(requests) * failures >=
         kFailuresThatWouldShow * static_cast<double>(errors.Requests());
}

}  // namespace kumquatmoor
