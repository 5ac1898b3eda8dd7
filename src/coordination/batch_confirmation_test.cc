#include "kumquatmoor/coordination/batch_confirmation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr ConfirmedBatch kOwn{.stamp = {.revision = 7}, .digest = 70};

BootTime At(int64_t ms) { return BootTime(milliseconds(100'000 + ms)); }

Datagram Make(Datagram::Kind kind, uint64_t age_ms, uint64_t sequence = 0,
              uint64_t revision = 7, uint64_t digest = 70) {
  Datagram datagram;
  datagram.set_kind(kind);
  datagram.set_sequence(sequence);
  datagram.mutable_digest()->set_revision(revision);
  datagram.mutable_digest()->set_batch_digest(digest);
  datagram.mutable_digest()->set_confirmed_age_ms(age_ms);
  return datagram;
}

// Guards against a confirmation of another batch, or one that is fresher than
// what the sender knew.
TEST_CASE("A confirmation is adopted for the same batch and a newer own one") {
  struct Case {
    const char* name;
    Datagram datagram;
    std::optional<BootTime> expected;
  };
  const Case cases[] = {
      {"the same batch", Make(Datagram::PUSH, 201), At(300 - 201 - 500)},
      {"an older batch", Make(Datagram::PUSH, 201, 0, 6, 60),
       At(300 - 201 - 500)},
      {"a newer batch", Make(Datagram::PUSH, 201, 0, 8, 80), std::nullopt},
      {"other contents", Make(Datagram::PUSH, 201, 0, 7, 71), std::nullopt},
      {"no confirmation", Make(Datagram::PUSH, 0), std::nullopt},
      {"a huge age", Make(Datagram::PUSH, UINT64_MAX), std::nullopt},
      {"an ACK of a probe sent at 40", Make(Datagram::ACK, 201, 4),
       At(40 - 201)},
      {"an ACK of no probe", Make(Datagram::ACK, 201, 5), std::nullopt},
  };
  for (const auto& c : cases) {
    INFO(c.name);
    BatchConfirmation confirmation;
    confirmation.NoteRunning(At(0));
    Datagram ping = Make(Datagram::PING, 0, 4);
    confirmation.OnSend(At(40), &ping);
    CHECK(ping.digest().confirmed_age_ms() == 0);
    confirmation.NoteRunning(At(300));
    confirmation.OnReceive(c.datagram, kOwn, At(300));
    CHECK(confirmation.At() == c.expected);
  }
}

// Guards against keys that work on after a pause, since datagrams that waited
// in the socket's buffer are taken for new ones.
TEST_CASE("After a pause only ACKs of later probes are used at first") {
  BatchConfirmation confirmation;
  confirmation.NoteRunning(At(0));
  Datagram ping = Make(Datagram::PING, 0, 1);
  confirmation.OnSend(At(0), &ping);
  confirmation.OnReceive(Make(Datagram::PUSH, 1), kOwn, At(0));
  const auto before = confirmation.At();
  REQUIRE(before == At(-501));
  // Stopped for 20 s. What was sent before and meanwhile is read now.
  confirmation.NoteRunning(At(20'000));
  confirmation.OnReceive(Make(Datagram::PUSH, 1), kOwn, At(20'000));
  CHECK(confirmation.At() == before);
  confirmation.OnReceive(Make(Datagram::ACK, 1, 1), kOwn, At(20'000));
  CHECK(confirmation.At() == At(-1));
  confirmation.OnReceive(Make(Datagram::PUSH, 1), kOwn, At(20'000));
  CHECK(confirmation.At() == At(-1));
  Datagram later = Make(Datagram::PING, 0, 2);
  confirmation.OnSend(At(20'010), &later);
  confirmation.NoteRunning(At(20'020));
  confirmation.OnReceive(Make(Datagram::ACK, 100, 2), kOwn, At(20'020));
  CHECK(confirmation.At() == At(19'910));
  confirmation.OnReceive(Make(Datagram::PUSH, 1), kOwn, At(20'900));
  CHECK(confirmation.At() == At(20'900 - 501));
}

// Guards against the margins of several hops that add up to seconds, and
// against a probe for each of several datagrams that say the same.
TEST_CASE(
    "The sender of a fresher confirmation is probed before it is passed on") {
  BatchConfirmation confirmation;
  confirmation.NoteRunning(At(0));
  CHECK(confirmation.OnReceive(Make(Datagram::PUSH, 100), kOwn, At(0)));
  CHECK_FALSE(confirmation.TakePushDue(At(0)));
  CHECK_FALSE(confirmation.OnReceive(Make(Datagram::PUSH, 90), kOwn, At(1)));
  Datagram probe = Make(Datagram::PING, 0, 3);
  confirmation.OnSend(At(1), &probe);
  CHECK_FALSE(confirmation.OnReceive(Make(Datagram::ACK, 101, 3), kOwn, At(4)));
  CHECK(confirmation.At() == At(-100));
  CHECK(confirmation.TakePushDue(At(4)));
  // The ACK is lost.
  CHECK(confirmation.OnReceive(Make(Datagram::PUSH, 1), kOwn, At(1'000)));
  CHECK_FALSE(confirmation.TakePushDue(At(1'099)));
  CHECK(confirmation.TakePushDue(At(1'100)));
  CHECK(confirmation.At() == At(1'000 - 501));
}

// Guards against a push for each of many small steps, and against ages that are
// rounded down.
TEST_CASE("A confirmation is shared with its age, and pushed by steps") {
  BatchConfirmation confirmation;
  CHECK_FALSE(confirmation.TakePushDue(At(0)));
  confirmation.OnRead(At(0));
  CHECK(confirmation.TakePushDue(At(0)));
  confirmation.OnRead(At(399));
  CHECK_FALSE(confirmation.TakePushDue(At(0)));
  confirmation.OnRead(At(400));
  CHECK(confirmation.TakePushDue(At(0)));
  confirmation.OnRead(At(100));
  CHECK(confirmation.At() == At(400));
  Datagram push = Make(Datagram::PUSH, 0);
  confirmation.OnSend(At(650) + std::chrono::microseconds(1), &push);
  CHECK(push.digest().confirmed_age_ms() == 251);
}

// Members of a mesh that gossip on a virtual clock. Each ticks every 50 ms and
// probes another one each second; datagrams take 1 to 3 ms.
class Mesh {
 public:
  Mesh(size_t nodes, size_t gateways, double loss)
      : m_nodes(nodes), m_gateways(gateways), m_loss(loss) {}

  // Runs until `end_ms`. While `has_store`, each gateway has a read of one
  // second every 1,250 ms. Returns the greatest age at any node after 5 s.
  int64_t Run(int64_t end_ms, bool has_store) {
    int64_t greatest = 0;
    for (; m_now < end_ms; ++m_now) {
      Deliver();
      for (size_t i = 0; i < m_nodes.size(); ++i) Step(i, has_store);
      if (m_now >= m_settled) greatest = std::max(greatest, GreatestAge());
    }
    return greatest;
  }
  int64_t GreatestAge() const {
    int64_t greatest = 0;
    for (const auto& node : m_nodes) {
      const auto age =
          node.At() ? At(m_now) - *node.At() : milliseconds(99'999);
      greatest = std::max<int64_t>(
          greatest, std::chrono::duration_cast<milliseconds>(age).count());
    }
    return greatest;
  }
  uint64_t Sent() const { return m_sent; }

 private:
  struct Flight {
    int64_t at;
    size_t from, to;
    Datagram datagram;
  };

  void Send(size_t from, size_t to, Datagram datagram) {
    m_nodes[from].OnSend(At(m_now), &datagram);
    ++m_sent;
    if (std::bernoulli_distribution(m_loss)(m_rng)) return;
    m_flights.push_back({.at = m_now + 1 + static_cast<int64_t>(m_rng() % 3),
                         .from = from,
                         .to = to,
                         .datagram = std::move(datagram)});
  }
  void Push(size_t node) {
    if (!m_nodes[node].TakePushDue(At(m_now))) return;
    for (int i = 0; i < 3; ++i) {
      Send(node, m_rng() % m_nodes.size(), Make(Datagram::PUSH, 0));
    }
  }
  void Deliver() {
    std::deque<Flight> due;
    std::erase_if(m_flights, [&](Flight& flight) {
      if (flight.at > m_now) return false;
      due.push_back(std::move(flight));
      return true;
    });
    for (const auto& flight : due) {
      BatchConfirmation& node = m_nodes[flight.to];
      node.NoteRunning(At(m_now));
      if (node.OnReceive(flight.datagram, kOwn, At(m_now))) {
        Send(flight.to, flight.from, Make(Datagram::PING, 0, ++m_sequence));
      }
      if (flight.datagram.kind() == Datagram::PING) {
        Send(flight.to, flight.from,
             Make(Datagram::ACK, 0, flight.datagram.sequence()));
      }
      Push(flight.to);
    }
  }
  void Step(size_t node, bool has_store) {
    const auto phase = static_cast<int64_t>(node);
    if ((m_now + phase * 7) % 50 == 0) {
      m_nodes[node].NoteRunning(At(m_now));
      Push(node);
    }
    if ((m_now + phase * 137) % 1'000 == 0) {
      Send(node, m_rng() % m_nodes.size(),
           Make(Datagram::PING, 0, ++m_sequence));
    }
    if (has_store && node < m_gateways && (m_now + phase * 331) % 1'250 == 0) {
      m_nodes[node].OnRead(At(m_now - 1'000));
      Push(node);
    }
  }

  std::vector<BatchConfirmation> m_nodes;
  size_t m_gateways;
  double m_loss;
  int64_t m_settled = 5'000;
  std::mt19937_64 m_rng{3};
  int64_t m_now = 0;
  uint64_t m_sequence = 0;
  uint64_t m_sent = 0;
  std::deque<Flight> m_flights;
};

// Guards against keys that stop working on nodes that are not gateways although
// the store can be reached, and against keys that work on without it. A key is
// accepted for 4.5 s.
TEST_CASE("A confirmation reaches a mesh in time, and ages without the store") {
  for (const double loss : {0.0, 0.05}) {
    for (const size_t gateways : {1, 4}) {
      Mesh mesh(80, gateways, loss);
      const int64_t greatest = mesh.Run(30'000, true);
      const double rate = static_cast<double>(mesh.Sent()) / 80 / 30;
      WARN("loss " << loss << ", gateways " << gateways << ": greatest age "
                   << greatest << " ms, " << rate << " datagrams/s per node");
      // Half a second is left to hosts whose processor is busy.
      CHECK(greatest < 4'000);
      CHECK(rate < 12);
      mesh.Run(34'500, false);
      CHECK(mesh.GreatestAge() >= 4'500);
    }
  }
}

}  // namespace
}  // namespace kumquatmoor
