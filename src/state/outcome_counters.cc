#include "kumquatmoor/state/outcome_counters.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <cmath>

namespace kumquatmoor {
namespace {

using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

// Weight of one request in the moving average of the load.
constexpr double kLoadWeight = 0.05;
// Requests that are slower by so many latency buckets on average (a factor of
// 2), and how many of them, are news.
constexpr double kUrgentSlowdownBuckets = 2;
constexpr uint64_t kMinNewLatencies = 3;

}  // namespace

size_t LatencyBucket(double latency_ms) {
  static const LatencyAxis kAxis(kLatencyBuckets, kLowestLatencyMs,
                                 kHighestLatencyMs);
  const int index = kAxis.index(std::max(latency_ms, kLowestLatencyMs));
  return static_cast<size_t>(
      std::clamp(index, 0, static_cast<int>(kLatencyBuckets) - 1));
}

std::string RouteOf(std::string_view method, std::string_view path) {
  path = path.substr(0, path.find('?'));
  if (!path.empty()) path = path.substr(0, path.find('/', 1));
  constexpr size_t kMaxRouteBytes = 48;
  return std::string(method) + " " +
         std::string(path.substr(0, kMaxRouteBytes));
}

ReportPacer::Sums ReportPacer::SumsOf(const Evidence& evidence) {
  Sums sums;
  for (const auto& route : evidence.routes()) {
    sums.failures += route.errors();
    for (int i = 0; i < route.latency_size(); ++i) {
      sums.timed += route.latency(i);
      sums.buckets += static_cast<uint64_t>(i) * route.latency(i);
    }
  }
  return sums;
}

bool ReportPacer::IsUrgent(const Sums& sums) const {
  if (sums.failures > m_sent.failures) return true;
  if (m_sent.timed == 0 || sums.timed < m_sent.timed + kMinNewLatencies) {
    return false;
  }
  const double before =
      static_cast<double>(m_sent.buckets) / static_cast<double>(m_sent.timed);
  const double since = static_cast<double>(sums.buckets - m_sent.buckets) /
                       static_cast<double>(sums.timed - m_sent.timed);
  return since >= before + kUrgentSlowdownBuckets;
}

bool ReportPacer::Take(const Evidence& evidence, TimePoint now) {
  const Sums sums = SumsOf(evidence);
  const bool other_move = evidence.move_revision() != m_move_revision;
  const bool changed = other_move || evidence.sequence() != m_sequence;
  if (changed) m_left = kSendsPerReport;
  if (m_left == 0) return false;
  const bool news = other_move || (changed && IsUrgent(sums));
  if (!news && now - m_sent_at < m_interval) return false;
  --m_left;
  m_sent_at = now;
  m_sequence = evidence.sequence();
  m_move_revision = evidence.move_revision();
  m_sent = sums;
  return true;
}

void OutcomeCounters::Add(const Outcome& outcome) {
  auto& version = m_versions[{outcome.service, outcome.version}];
  ++version.sequence;
  version.in_flight += (outcome.in_flight - version.in_flight) * kLoadWeight;
  const bool known = version.routes.count(outcome.route) > 0;
  const bool room = version.routes.size() < kMaxRoutes;
  Counts& counts = version.routes[known || room ? outcome.route : kOtherRoutes];
  ++counts.total;
  if (outcome.error) ++counts.errors;
  if (!outcome.idempotent) ++counts.side_effects;
  if (!outcome.warm || outcome.error) return;
  ++counts.warm_total;
  ++counts.latency[LatencyBucket(outcome.latency_ms)];
}

void OutcomeCounters::Restart(const std::string& service) {
  // The sequence goes on rising: it orders reports, not counts.
  for (auto& [key, version] : m_versions) {
    if (key.first == service) version.routes.clear();
  }
}

std::vector<std::pair<std::string, std::string>> OutcomeCounters::Versions()
    const {
  std::vector<std::pair<std::string, std::string>> versions;
  for (const auto& [key, counts] : m_versions) versions.push_back(key);
  return versions;
}

Evidence OutcomeCounters::Report(const std::string& service,
                                 const std::string& version) const {
  Evidence evidence;
  evidence.set_service(service);
  evidence.set_version(version);
  auto found = m_versions.find({service, version});
  if (found == m_versions.end()) return evidence;
  evidence.set_sequence(found->second.sequence);
  evidence.set_in_flight(
      static_cast<uint32_t>(std::lround(found->second.in_flight)));
  for (const auto& [route, counts] : found->second.routes) {
    RouteCounts* report = evidence.add_routes();
    report->set_route(route);
    report->set_total(counts.total);
    report->set_errors(counts.errors);
    report->set_warm_total(counts.warm_total);
    report->set_side_effects(counts.side_effects);
    for (uint32_t count : counts.latency) report->add_latency(count);
  }
  return evidence;
}

}  // namespace kumquatmoor
