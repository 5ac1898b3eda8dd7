#ifndef KUMQUATMOOR_COORDINATION_ACK_TREE_H_
#define KUMQUATMOOR_COORDINATION_ACK_TREE_H_

// AckTree: aggregates along a tree of the nodes of one zone which revision
// every node of the zone holds.
//
//   AckTree tree({.id = "node-1"});
//   tree.SetMembers(live_ids_of_zone);
//   tree.OnReport("node-7", report, now);
//   if (auto parent = tree.ParentIfReportDue(revision, now)) {
//     Send(*parent, tree.Report(revision, now));
//   }
//
// Each node computes the tree from its list of live nodes: in the order of a
// hash of the ids, node i reports to node (i - 1) / kFanout. A node sends one
// small message to its parent when its report changes, so that no node receives
// messages from its whole zone. The class does no I/O, and the caller passes
// the time. Not thread-safe.

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
  // Time after which an unchanged report is sent again.
  std::chrono::milliseconds resend_interval{3'000};
  // Time after which a child's report no longer counts.
  std::chrono::milliseconds report_lifetime{10'000};
};

class AckTree {
 public:
  static constexpr size_t kFanout = 16;
  // Limit for the ids of nodes with an older revision in a report.
  static constexpr int kMaxBehindIds = 8;

  explicit AckTree(AckTreeOptions options) : m_options(std::move(options)) {}

  // `ids` are the live nodes of the zone, including this one.
  void SetMembers(std::vector<std::string> ids);
  void OnReport(const std::string& child, const SubtreeReport& report,
                TimePoint now);

  // Returns the report on the subtree of this node, which holds `revision`. A
  // child without a current report is not counted, so that the number of nodes
  // is then lower than the size of the subtree.
  SubtreeReport Report(uint64_t revision, TimePoint now) const;
  // Returns the parent if this node should send its report now, and records
  // that it was sent. The root has no parent.
  std::optional<std::string> ParentIfReportDue(uint64_t revision,
                                               TimePoint now);
  // The node whose report covers the whole zone.
  const std::string& Root() const { return m_order.front(); }

 private:
  struct ChildReport {
    SubtreeReport report;
    TimePoint received;
  };

  AckTreeOptions m_options;
  std::vector<std::string> m_order{""};  // Ids in the order of the tree.
  size_t m_position = 0;                 // This node's index in m_order.
  std::map<std::string, ChildReport> m_children;
  std::string m_last_sent;  // The last report and the parent it was sent to.
  TimePoint m_last_sent_at;
};

// Returns the root of the tree of `ids`, which must not be empty.
std::string AckTreeRoot(const std::vector<std::string>& ids);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_COORDINATION_ACK_TREE_H_
