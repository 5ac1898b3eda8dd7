#include "kumquatmoor/coordination/ack_tree.h"

#include <catch2/catch.hpp>
#include <map>

namespace kumquatmoor {
namespace {

using std::chrono::seconds;

// The trees of all nodes of one zone. A step delivers the reports that are due.
class Zone {
 public:
  explicit Zone(int size) {
    for (int i = 0; i < size; ++i) m_ids.push_back("n" + std::to_string(i));
    for (const auto& id : m_ids) {
      m_trees.emplace(id, AckTree(AckTreeOptions{.id = id}));
      m_trees.at(id).SetMembers(m_ids);
    }
  }

  size_t Step(const std::map<std::string, uint64_t>& revisions) {
    m_now += seconds(1);
    size_t sent = 0;
    for (auto& [id, tree] : m_trees) {
      const auto found = revisions.find(id);
      const uint64_t revision = found == revisions.end() ? 7 : found->second;
      if (const auto parent = tree.ParentIfReportDue(revision, m_now)) {
        ++sent;
        m_trees.at(*parent).OnReport(id, tree.Report(revision, m_now), m_now);
      }
    }
    return sent;
  }

  SubtreeReport Root() const {
    return m_trees.at(AckTreeRoot(m_ids)).Report(7, m_now);
  }

 private:
  std::vector<std::string> m_ids;
  std::map<std::string, AckTree> m_trees;
  TimePoint m_now = TimePoint() + seconds(100);
};

TEST_CASE("The root's report counts every node at the revision") {
  for (int size : {1, 2, 17, 300}) {
    INFO(size);
    Zone zone(size);
    for (int i = 0; i < 4; ++i) zone.Step({});
    CHECK(zone.Root().nodes() == static_cast<uint32_t>(size));
    CHECK(zone.Root().lowest_revision() == 7);
    CHECK(zone.Root().behind_size() == 0);
  }
}

TEST_CASE("The root's report names the nodes that are behind") {
  Zone zone(300);
  for (int i = 0; i < 5; ++i) zone.Step({{"n42", 6}, {"n77", 6}});
  const SubtreeReport root = zone.Root();
  CHECK(root.lowest_revision() == 6);
  std::vector<std::string> behind(root.behind().begin(), root.behind().end());
  std::sort(behind.begin(), behind.end());
  CHECK(behind == std::vector<std::string>{"n42", "n77"});
}

TEST_CASE("Unchanged reports are sent again at the resend interval") {
  Zone zone(100);
  for (int i = 0; i < 5; ++i) zone.Step({});
  size_t sent = 0;
  for (int i = 0; i < 6; ++i) sent += zone.Step({});
  // Each of the 99 nodes below the root sends at most twice in 6 seconds.
  CHECK(sent <= size_t{198});
}

}  // namespace
}  // namespace kumquatmoor
