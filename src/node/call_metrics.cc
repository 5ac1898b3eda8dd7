#include "kumquatmoor/node/call_metrics.h"

#include <spdlog/fmt/fmt.h>

namespace kumquatmoor {
namespace {

constexpr unsigned kBuckets = 32;
constexpr double kLowestMs = 0.1;
constexpr double kHighestMs = 30'000;

// A value of a label, without the characters that would end it.
std::string LabelText(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return c == '"' || c == '\\' || c == '\n'; }, '?');
  return text;
}

}  // namespace

CallMetrics::CallMetrics()
    : m_latency(boost::histogram::make_histogram(
          Axis(kBuckets, kLowestMs, kHighestMs))) {}

void CallMetrics::OnCall(Verdict verdict, double latency_ms) {
  ++m_calls[static_cast<size_t>(verdict)];
  m_latency(latency_ms);
  m_latency_sum_ms += latency_ms;
}

void CallMetrics::OnQuota(const std::string& organisation, Quota outcome) {
  auto found = m_quotas.find(organisation);
  if (found == m_quotas.end() && m_quotas.size() < kMaxOrganisations) {
    found = m_quotas.emplace(organisation, QuotaCounts{}).first;
  }
  QuotaCounts& counts =
      found == m_quotas.end() ? m_other_quotas : found->second;
  ++counts[static_cast<size_t>(outcome)];
}

std::string CallMetrics::QuotaText() const {
  if (m_quotas.empty()) return "";
  std::string text = "# TYPE kumquatmoor_quota_requests_total counter\n";
  const auto add = [&](const std::string& organisation,
                       const QuotaCounts& counts) {
    const char* const outcomes[] = {"granted", "fallback", "denied"};
    for (size_t i = 0; i < counts.size(); ++i) {
      text += fmt::format(
          "kumquatmoor_quota_requests_total{{organisation=\"{}\","
          "outcome=\"{}\"}} {}\n",
          LabelText(organisation), outcomes[i], counts[i]);
    }
  };
  for (const auto& [name, counts] : m_quotas) add(name, counts);
  if (m_quotas.size() >= kMaxOrganisations) add("", m_other_quotas);
  return text;
}

std::string CallMetrics::ToPrometheus() const {
  std::string text = "# TYPE kumquatmoor_calls_total counter\n";
  for (auto verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    text += fmt::format("kumquatmoor_calls_total{{verdict=\"{}\"}} {}\n",
                        VerdictName(verdict),
                        m_calls[static_cast<size_t>(verdict)]);
  }
  text += "# TYPE kumquatmoor_local_runs_total counter\n";
  for (auto kind :
       {AttemptKind::kFirst, AttemptKind::kRetry, AttemptKind::kCallOfRetry}) {
    text += fmt::format("kumquatmoor_local_runs_total{{kind=\"{}\"}} {}\n",
                        AttemptKindName(kind),
                        m_local_runs[static_cast<size_t>(kind)]);
  }
  text += "# TYPE kumquatmoor_denied_total counter\n";
  for (const auto& [key, count] : m_denied) {
    const auto& [status, origin] = key;
    text += fmt::format(
        "kumquatmoor_denied_total{{status=\"{}\",origin=\"{}\"}} {}\n", status,
        origin == Origin::kNode ? "node" : "backend", count);
  }
  if (!m_authentications.empty()) {
    text += "# TYPE kumquatmoor_authentications_total counter\n";
  }
  for (const auto& [outcome, count] : m_authentications) {
    text +=
        fmt::format("kumquatmoor_authentications_total{{outcome=\"{}\"}} {}\n",
                    AuthenticationName(outcome), count);
  }
  text += QuotaText();
  text += "# TYPE kumquatmoor_hedges_total counter\n";
  for (size_t verdict = 0; verdict < kHedgeVerdicts; ++verdict) {
    text += fmt::format("kumquatmoor_hedges_total{{result=\"{}\"}} {}\n",
                        HedgeVerdictName(static_cast<HedgeVerdict>(verdict)),
                        m_hedges[verdict]);
  }
  const auto counter = [&](const char* name, uint64_t value) {
    text += fmt::format("# TYPE {} counter\n{} {}\n", name, name, value);
  };
  counter("kumquatmoor_retries_total", m_retries);
  counter("kumquatmoor_hedges_won_total", m_hedges_won);
  counter("kumquatmoor_refusals_total", m_refusals);
  counter("kumquatmoor_evacuated_refusals_total", m_evacuated_refusals);
  counter("kumquatmoor_cold_refusals_total", m_cold_refusals);
  counter("kumquatmoor_lost_outcomes_total", m_lost_outcomes);
  counter("kumquatmoor_backend_crashes_total", m_crashes);
  counter("kumquatmoor_blocked_requests_total", m_blocked);
  counter("kumquatmoor_link_refusals_total", m_link_refusals);
  counter("kumquatmoor_shed_requests_total", m_shed);
  counter("kumquatmoor_handed_back_requests_total", m_handed_back);
  counter("kumquatmoor_buffer_refusals_total", m_buffer_refusals);
  counter("kumquatmoor_link_wasted_bytes_total", m_wasted_bytes);
  counter("kumquatmoor_refused_behind_total", m_refused_behind);
  counter("kumquatmoor_refused_unconfirmed_total", m_refused_unconfirmed);
  counter("kumquatmoor_decided_behind_total", m_decided_behind);
  text += fmt::format(
      "# TYPE kumquatmoor_decided_behind_max_ms gauge\n"
      "kumquatmoor_decided_behind_max_ms {}\n",
      std::chrono::duration_cast<std::chrono::milliseconds>(m_longest_behind)
          .count());
  text += "# TYPE kumquatmoor_call_ms histogram\n";
  double below = m_latency.at(-1);
  for (auto&& bin : boost::histogram::indexed(m_latency)) {
    below += *bin;
    text += fmt::format("kumquatmoor_call_ms_bucket{{le=\"{:.3f}\"}} {}\n",
                        bin.bin().upper(), static_cast<uint64_t>(below));
  }
  const auto count =
      static_cast<uint64_t>(below + m_latency.at(static_cast<int>(kBuckets)));
  text += fmt::format(
      "kumquatmoor_call_ms_bucket{{le=\"+Inf\"}} {}\n"
      "kumquatmoor_call_ms_sum {}\nkumquatmoor_call_ms_count {}\n",
      count, m_latency_sum_ms, count);
  return text;
}

}  // namespace kumquatmoor
