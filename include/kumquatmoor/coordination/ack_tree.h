#ifndef KUMQUATMOOR_COORDINATION_ACK_TREE_H_
#define KUMQUATMOOR_COORDINATION_ACK_TREE_H_

// AckTree: adds up, along a tree of the nodes of one zone, which revision is
// in force on all of them.
//
//   AckTree tree({.id = "node-1"});
//   tree.SetMembers(live_ids_of_zone, now);
//   tree.OnReport("node-7", report, now);
//   if (auto parent = tree.ParentIfReportDue(revision, now)) Send(*parent,
//   ...);
//
// The tree follows from the list of live nodes: sorted by a hash of their ids,
// node i reports to node (i - 1) / kFanout. Each node sends one small message
// when its report changes, so no node hears from its whole zone. Pure. Not
// thread-safe.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

struct AckTreeOptions {
  std::string id;
  std::chrono::milliseconds resend_interval{3'000};  // An unchanged report.
  std::chrono::milliseconds report_lifetime{10'000};
};

class AckTree {
 public:
  static constexpr size_t kFanout = 16;
  static constexpr int kMaxBehindIds = 8;

  explicit AckTree(AckTreeOptions options) : m_options(std::move(options)) {}

  // `ids`: the live nodes of the zone, this one among them.
  void SetMembers(std::vector<std::string> ids);
  void OnReport(const std::string& child, const SubtreeReport& report,
                TimePoint now);

  // This node and everything below it. A child that has not reported counts
  // as no node, so the count falls short of the zone's size.
  SubtreeReport Report(uint64_t revision, TimePoint now) const;
  // The parent to send the report to, if it is time to.
  std::optional<std::string> ParentIfReportDue(uint64_t revision,
                                               TimePoint now);
  // The node that holds the report of the whole zone.
  const std::string& Root() const { return m_order.front(); }

 private:
  struct ChildReport {
    SubtreeReport report;
    TimePoint received;
  };

  AckTreeOptions m_options;
  std::vector<std::string> m_order{""};
  size_t m_position = 0;
  std::map<std::string, ChildReport> m_children;
  std::string m_last_sent;
  TimePoint m_last_sent_at;
};

// The root of the tree over `ids`, which must not be empty.
std::string AckTreeRoot(const std::vector<std::string>& ids);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_ACK_TREE_H_
