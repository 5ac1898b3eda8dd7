#include "kumquatmoor/state/outcome_counters.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <cmath>

namespace kumquatmoor {
namespace {

using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

// Weight of one request in the moving average of requests in flight.
constexpr double kLoadWeight = 0.05;
// Counts are urgent if at least kMinNewLatencies new requests are slower on
// average than the reported ones by kUrgentSlowdownBuckets latency buckets, a
// factor of 2. Fewer slow requests may be chance.
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
  std::string route =
      std::string(method) + " " + std::string(path.substr(0, kMaxRouteBytes));
  // Other nodes discard a message with a string that is not valid UTF-8.
  const auto is_invisible = [](char c) { return c < ' ' || c > '~'; };
  std::replace_if(route.begin(), route.end(), is_invisible, '?');
  return route;
}

ReportPacer::Sums ReportPacer::SumsOf(const Evidence& counts) {
  Sums sums;
  for (const auto& route : counts.routes()) {
    sums.failures += route.errors();
    for (int i = 0; i < route.latency_size(); ++i) {
      sums.latencies += route.latency(i);
      sums.buckets += static_cast<uint64_t>(i) * route.latency(i);
    }
  }
  return sums;
}

bool ReportPacer::IsUrgent(const Sums& sums) const {
  if (sums.failures > m_sent.failures) return true;
  if (m_sent.latencies == 0 ||
      sums.latencies < m_sent.latencies + kMinNewLatencies) {
    return false;
  }
  const double before = static_cast<double>(m_sent.buckets) /
                        static_cast<double>(m_sent.latencies);
  const double since = static_cast<double>(sums.buckets - m_sent.buckets) /
                       static_cast<double>(sums.latencies - m_sent.latencies);
  return since >= before + kUrgentSlowdownBuckets;
}

bool ReportPacer::Take(const Evidence& counts, TimePoint now) {
  const Sums sums = SumsOf(counts);
  const bool other_move = counts.move_revision() != m_move_revision;
  const bool changed = other_move || counts.sequence() != m_sequence;
  if (changed) m_sends_left = kSendsPerReport;
  if (m_sends_left == 0) return false;
  const bool urgent = other_move || (changed && IsUrgent(sums));
  if (!urgent && now - m_sent_at < m_interval) return false;
  --m_sends_left;
  m_sent_at = now;
  m_sequence = counts.sequence();
  m_move_revision = counts.move_revision();
  m_sent = sums;
  return true;
}

void OutcomeCounters::Add(const Outcome& outcome) {
  auto& version = m_versions[{outcome.service, outcome.version}];
  ++version.sequence;
  version.in_flight += (outcome.in_flight - version.in_flight) * kLoadWeight;
  const bool known = version.routes.count(outcome.route) > 0;
  const bool room = version.routes.size() < kMaxCountedRoutes;
  Counts& counts = version.routes[known || room ? outcome.route : kOtherRoutes];
  ++counts.total;
  if (outcome.error) ++counts.errors;
  if (!outcome.idempotent) ++counts.side_effects;
  if (!outcome.warm || outcome.error) return;
  ++counts.warm_total;
  ++counts.latency[LatencyBucket(outcome.latency_ms)];
}

void OutcomeCounters::Restart(const std::string& service) {
  // The sequence is kept, as it must increase from report to report.
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
  Evidence counts;
  counts.set_service(service);
  counts.set_version(version);
  auto found = m_versions.find({service, version});
  if (found == m_versions.end()) return counts;
  counts.set_sequence(found->second.sequence);
  counts.set_in_flight(
      static_cast<uint32_t>(std::lround(found->second.in_flight)));
  for (const auto& [route, route_counts] : found->second.routes) {
    RouteCounts* entry = counts.add_routes();
    entry->set_route(route);
    entry->set_total(route_counts.total);
    entry->set_errors(route_counts.errors);
    entry->set_warm_total(route_counts.warm_total);
    entry->set_side_effects(route_counts.side_effects);
    for (uint32_t count : route_counts.latency) entry->add_latency(count);
  }
  return counts;
}

}  // namespace kumquatmoor
