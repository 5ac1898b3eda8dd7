#include "kumquatmoor/coordination/ack_tree.h"

#include <xxhash.h>

#include <algorithm>

namespace kumquatmoor {
namespace {

bool PrecedesInTree(const std::string& a, const std::string& b) {
  const auto hash_a = XXH3_64bits(a.data(), a.size());
  const auto hash_b = XXH3_64bits(b.data(), b.size());
  return hash_a != hash_b ? hash_a < hash_b : a < b;
}

}  // namespace

std::string AckTreeRoot(const std::vector<std::string>& ids) {
  return *std::min_element(ids.begin(), ids.end(), PrecedesInTree);
}

void AckTree::SetMembers(std::vector<std::string> ids) {
  std::sort(ids.begin(), ids.end(), PrecedesInTree);
  auto self = std::find(ids.begin(), ids.end(), m_options.id);
  if (self == ids.end()) return;
  m_position = static_cast<size_t>(self - ids.begin());
  m_order = std::move(ids);
  const size_t first = m_position * kFanout + 1;
  const size_t last = std::min(first + kFanout, m_order.size());
  std::erase_if(m_children, [&](const auto& child) {
    for (size_t i = first; i < last; ++i) {
      if (m_order[i] == child.first) return false;
    }
    return true;
  });
}

void AckTree::OnReport(const std::string& child, const SubtreeReport& report,
                       TimePoint now) {
  m_children[child] = ChildReport{.report = report, .received = now};
}

SubtreeReport AckTree::Report(uint64_t revision, TimePoint now) const {
  SubtreeReport sum;
  uint64_t highest = revision;
  std::map<std::string, const SubtreeReport*> current_reports;
  const size_t first = m_position * kFanout + 1;
  const size_t last = std::min(first + kFanout, m_order.size());
  for (size_t i = first; i < last; ++i) {
    auto child = m_children.find(m_order[i]);
    if (child == m_children.end()) continue;
    if (now - child->second.received > m_options.report_lifetime) continue;
    current_reports[m_order[i]] = &child->second.report;
    highest = std::max(highest, child->second.report.lowest_revision());
  }
  sum.set_lowest_revision(revision);
  sum.set_nodes(1);
  if (revision < highest) sum.add_behind(m_options.id);
  for (const auto& [child, report] : current_reports) {
    // If all of a child's subtree holds the same old revision, its report lists
    // no node as behind, so the child is listed here.
    const bool is_unaware =
        report->lowest_revision() < highest && report->behind_size() == 0;
    if (is_unaware && sum.behind_size() < kMaxBehindIds) sum.add_behind(child);
    sum.set_nodes(sum.nodes() + report->nodes());
    sum.set_lowest_revision(
        std::min(sum.lowest_revision(), report->lowest_revision()));
    for (const auto& id : report->behind()) {
      if (sum.behind_size() < kMaxBehindIds) sum.add_behind(id);
    }
  }
  return sum;
}

std::optional<std::string> AckTree::ParentIfReportDue(uint64_t revision,
                                                      TimePoint now) {
  if (m_position == 0) return std::nullopt;
  const std::string report = Report(revision, now).SerializeAsString();
  const std::string& parent = m_order[(m_position - 1) / kFanout];
  const std::string key = parent + '\n' + report;
  const bool unchanged = key == m_last_sent;
  if (unchanged && now - m_last_sent_at < m_options.resend_interval) {
    return std::nullopt;
  }
  m_last_sent = key;
  m_last_sent_at = now;
  return parent;
}

}  // namespace kumquatmoor
