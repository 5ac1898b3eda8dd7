// Three nodes with real control loops and proxies that exchange quota tokens by
// datagrams over loopback.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "kumquatmoor/node/control_loop.h"
#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/transport/fault_plan.h"
#include "node/quota_gate.h"
#include "node/unix_time.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

const std::string kOrganisation = "acme";
constexpr size_t kNodes = 3;

Batch BatchWith(uint64_t revision, double rate, double burst) {
  Batch batch;
  batch.set_revision(revision);
  Organisation* organisation = batch.add_organisations();
  organisation->set_name(kOrganisation);
  organisation->set_rate(rate);
  organisation->set_burst(burst);
  return batch;
}

// The nodes run on the thread of the test.
class QuotaNodes {
 public:
  struct Node {
    Node(asio::io_context& context, size_t index)
        : address("127.0.0.1:" + std::to_string(19'410 + index)),
          proxy(context, {.id = "n" + std::to_string(index), .zone = "z"},
                nullptr, &outcomes),
          loop(context,
               {.replica = {.id = "n" + std::to_string(index),
                            .zone = "z",
                            .control_address = address,
                            .data_address = address,
                            .started_ms = UnixMs()}},
               &faults, &proxy, &outcomes, &syncs) {
      proxy.SetQuotaHandler(
          [this](const std::vector<QuotaRequest>& requests, TimePoint sent) {
            asked += requests.size();
            loop.AskForQuota(requests, sent);
          });
    }
    std::string address;
    FaultPlan faults;
    BoundedRing<Outcome> outcomes{16};
    BoundedRing<SyncPeer> syncs{16};
    Proxy proxy;
    ControlLoop loop;
    size_t asked = 0;
  };

  explicit QuotaNodes(const Batch& batch) {
    for (size_t i = 0; i < kNodes; ++i) {
      nodes.push_back(std::make_unique<Node>(context, i));
      REQUIRE_FALSE(nodes.back()->loop.Start());
      nodes.back()->loop.SetStoreLoaded();
      nodes.back()->loop.SetReady();
    }
    for (auto& node : nodes) {
      for (auto& other : nodes) {
        if (other == node) continue;
        node->loop.GetReplica().AddDirectoryMember(
            other->loop.GetReplica().Self(), Clock::now());
      }
    }
    Offer(batch);
  }
  void Offer(const Batch& batch) {
    for (auto& node : nodes) {
      REQUIRE(node->loop.GetReplica().Offer(batch) == OfferOutcome::kApplied);
    }
  }
  void Run(milliseconds time) {
    context.restart();
    context.run_for(time);
  }
  // Makes `count` requests at each node at intervals. Returns how many pass.
  size_t Request(size_t count, milliseconds interval) {
    size_t passed = 0;
    for (auto& node : nodes) {
      asio::co_spawn(context, Requests(*node, count, interval, &passed),
                     asio::detached);
    }
    Run(interval * count + milliseconds(300));
    return passed;
  }

  asio::io_context context{1};
  std::vector<std::unique_ptr<Node>> nodes;

 private:
  asio::awaitable<void> Requests(Node& node, size_t count,
                                 milliseconds interval, size_t* passed) {
    asio::steady_timer timer(context);
    for (size_t i = 0; i < count; ++i) {
      asio::co_spawn(context, One(node, passed), asio::detached);
      timer.expires_after(interval);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }
  asio::awaitable<void> One(Node& node, size_t* passed) {
    QuotaGate& gate = node.proxy.Quotas();
    REQUIRE(gate.HasQuota(kOrganisation));
    const auto until = Clock::now() + milliseconds(500);
    const auto decision = co_await gate.Take(kOrganisation, until);
    REQUIRE_FALSE(std::holds_alternative<QuotaWait>(decision));
    if (std::holds_alternative<QuotaTaken>(decision)) ++*passed;
  }
};

}  // namespace

// Guards against a quota that holds at each node instead of all together.
TEST_CASE("Three nodes share the quota of an organisation", "[quota]") {
  QuotaNodes mesh(BatchWith(1, 50, 10));
  mesh.Run(milliseconds(1'500));
  // 600 requests in 2 s, of which 110 are allowed.
  const size_t passed = mesh.Request(200, milliseconds(10));
  CHECK(passed >= 80);
  CHECK(passed <= 145);
  size_t asked = 0;
  for (const auto& node : mesh.nodes) asked += node->asked;
  CHECK(asked < 200);
  // Guards against a lowered rate that waits for the bucket to run empty.
  mesh.Offer(BatchWith(2, 2, 1));
  mesh.Run(milliseconds(200));
  CHECK(mesh.Request(100, milliseconds(10)) <= 8);
}

// Guards against a node that serves nothing, or without limit, when it is cut
// off from the quota's authority.
TEST_CASE("A node that is cut off falls back to its share", "[quota]") {
  QuotaNodes mesh(BatchWith(1, 300, 10));
  mesh.Run(milliseconds(1'500));
  for (auto& node : mesh.nodes) {
    node->faults.Replace({{.kind = FaultKind::kCut, .zone = "z"}});
  }
  // Those of the authority are not affected: 300/s for 1 s, and the burst. The
  // others get 0.3 of a third each.
  const size_t passed = mesh.Request(200, milliseconds(5));
  CHECK(passed >= 200);
  CHECK(passed <= 420);
}

// Guards against messages in deployments that have no quotas.
TEST_CASE("Without a rate no message of quotas is sent", "[quota]") {
  QuotaNodes mesh(BatchWith(1, 0, 0));
  mesh.Run(milliseconds(500));
  for (auto& node : mesh.nodes) {
    CHECK_FALSE(node->proxy.Quotas().HasQuota(kOrganisation));
    CHECK(node->asked == 0);
  }
}

}  // namespace kumquatmoor
