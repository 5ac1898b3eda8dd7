// Probes of one replica, whose peer the test plays.

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <vector>

#include "kumquatmoor/coordination/replica.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr int64_t kStartedMs = 1'700'000'000'000;
constexpr milliseconds kTick{50};

MemberRecord PeerStartedAt(int64_t started_ms) {
  MemberRecord member;
  member.set_id("b");
  member.set_zone("z");
  member.set_control_address("127.0.0.1:2");
  member.set_data_address("127.0.0.1:2");
  member.set_incarnation(started_ms);
  return member;
}

// A replica "a" and its only peer "b".
class Prober {
 public:
  void Learn(const MemberRecord& peer) {
    Datagram push;
    push.set_kind(Datagram::PUSH);
    push.set_from("b");
    *push.add_rumours()->mutable_member() = peer;
    m_replica.OnDatagram(push, m_now);
  }

  // Returns the sequences of the probes that it sent to the peer.
  std::vector<uint64_t> Tick() {
    m_now += kTick;
    std::vector<uint64_t> pings;
    for (const auto& out : m_replica.Tick(m_now)) {
      if (out.datagram.kind() != Datagram::PING) continue;
      pings.push_back(out.datagram.sequence());
    }
    return pings;
  }

  void Acknowledge(uint64_t sequence) {
    Datagram ack;
    ack.set_kind(Datagram::ACK);
    ack.set_from("b");
    ack.set_sequence(sequence);
    m_replica.OnDatagram(ack, m_now);
  }

  MemberStatus PeerStatus() const {
    return m_replica.Members().Find("b")->status();
  }

 private:
  TimePoint m_now = TimePoint() + std::chrono::hours(1);
  Replica m_replica{{.id = "a",
                     .zone = "z",
                     .control_address = "127.0.0.1:1",
                     .data_address = "127.0.0.1:1",
                     .started_ms = kStartedMs},
                    m_now};
};

// Guards against a node that has restarted and is taken for lost, because the
// process before it left a probe unanswered: nobody routes to its targets, and
// the status of the mesh counts one node less.
TEST_CASE("A probe of a killed process does not suspect its successor") {
  Prober prober;
  prober.Learn(PeerStartedAt(kStartedMs));
  while (prober.Tick().empty()) {
  }
  // Killed before it could answer, and started again.
  prober.Learn(PeerStartedAt(kStartedMs + 5'000));
  for (milliseconds waited{0}; waited < milliseconds(3'000); waited += kTick) {
    for (const uint64_t sequence : prober.Tick()) prober.Acknowledge(sequence);
    INFO("after " << waited.count() << " ms");
    REQUIRE(prober.PeerStatus() == ALIVE);
  }
}

TEST_CASE("A process that leaves its own probe unanswered is suspected") {
  Prober prober;
  prober.Learn(PeerStartedAt(kStartedMs));
  for (milliseconds waited{0}; waited < milliseconds(3'000); waited += kTick) {
    prober.Tick();
  }
  CHECK(prober.PeerStatus() == SUSPECT);
}

}  // namespace
}  // namespace kumquatmoor
