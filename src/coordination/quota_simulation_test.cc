// A mesh of 76 nodes on a virtual clock, with the real decision classes and a
// model of messages and of the members' views. Each case checks the limit of
// any 5 s, and what was refused that one token bucket for all nodes would have
// let pass.

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <set>

#include "kumquatmoor/coordination/quota_authority.h"
#include "kumquatmoor/coordination/quota_client.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr size_t kNodes = 76;
constexpr size_t kZones = 4;
constexpr char kOrganisation[] = "acme";

class QuotaMesh {
 public:
  using DemandAt = std::function<double(size_t node, milliseconds at)>;

  QuotaMesh(QuotaLimit limit, DemandAt demand, uint64_t seed = 1)
      : m_limit(limit), m_demand(std::move(demand)), m_rng(seed) {
    m_limits =
        std::make_shared<QuotaLimits>(QuotaLimits{{kOrganisation, limit}});
    for (size_t i = 0; i < kNodes; ++i) {
      m_ids.push_back("node-" + std::to_string(i));
      m_nodes.push_back(std::make_unique<Node>(seed * kNodes + i));
      m_nodes[i]->alive.assign(kNodes, true);
    }
    for (size_t i = 0; i < kNodes; ++i) UpdateView(i);
  }

  double loss = 0;  // Part of the messages that is lost.
  // Whether a message from one node reaches the other.
  std::function<bool(size_t, size_t)> reaches = [](size_t, size_t) {
    return true;
  };

  static size_t ZoneOf(size_t node) { return node % kZones; }
  size_t Authority() const { return m_nodes[kNodes - 1]->authority_index; }
  void At(milliseconds at, std::function<void()> action) {
    m_events.emplace(Start() + at, std::move(action));
  }
  void Pause(size_t node, bool paused) { m_nodes[node]->is_paused = paused; }
  // Replaces the process of a node by a new one, which knows nothing of before.
  void Restart(size_t node) {
    m_nodes[node]->authority = QuotaAuthority(m_now);
    UpdateView(node);
  }
  // `observer` finds `subject` dead or alive after a random time.
  void Detect(size_t observer, size_t subject, bool alive, milliseconds min,
              milliseconds max) {
    std::uniform_int_distribution<int64_t> delay(min.count(), max.count());
    m_events.emplace(m_now + milliseconds(delay(m_rng)), [=, this] {
      m_nodes[observer]->alive[subject] = alive;
      UpdateView(observer);
    });
  }
  // All nodes detect the change of each `subjects`, as by suspicion and gossip.
  void DetectEverywhere(size_t subject, bool alive) {
    for (size_t i = 0; i < kNodes; ++i) {
      if (i == subject) continue;
      if (alive) {
        Detect(i, subject, true, milliseconds(50), milliseconds(400));
      } else {
        Detect(i, subject, false, milliseconds(1'200), milliseconds(2'000));
      }
    }
  }
  void SetLimit(QuotaLimit limit) {
    m_limit = limit;
    m_limits =
        std::make_shared<QuotaLimits>(QuotaLimits{{kOrganisation, limit}});
    for (size_t i = 0; i < kNodes; ++i) UpdateView(i);
  }

  void Run(milliseconds time) {
    for (const TimePoint end = m_now + time; m_now < end;
         m_now += milliseconds(1)) {
      while (!m_events.empty() && m_events.begin()->first <= m_now) {
        auto event = m_events.extract(m_events.begin());
        event.mapped()();
      }
      DrawRequests();
      for (size_t i = 0; i < kNodes; ++i) {
        if (!m_nodes[i]->is_paused) RunNode(i);
      }
    }
  }

  // The most requests that ran in any 5 s.
  size_t Most() const {
    size_t most = 0;
    size_t first = 0;
    for (size_t last = 0; last < m_ran.size(); ++last) {
      while (m_ran[last] - m_ran[first] >= std::chrono::seconds(5)) ++first;
      most = std::max(most, last - first + 1);
    }
    return most;
  }
  double Bound() const { return (m_limit.rate * 5 + m_limit.burst) * 1.1 + 20; }
  // The part of what one bucket would have let pass that was refused.
  double Lost() const {
    if (m_passable == 0) return 0;
    return 1 -
           static_cast<double>(m_ran.size()) / static_cast<double>(m_passable);
  }
  void Report(const std::string& name) const {
    std::cout << "quota simulation: " << name << ": asked " << m_asked
              << ", ran " << m_ran.size() << ", passable " << m_passable
              << ", refused below the limit " << 100 * Lost()
              << "%, most in 5 s " << Most() << " of " << Bound()
              << ", fallback " << m_fallback << ", messages " << m_messages
              << "\n";
  }
  size_t Ran() const { return m_ran.size(); }
  size_t Waited() const { return m_waited; }
  size_t Messages() const { return m_messages; }
  static TimePoint Start() { return TimePoint(std::chrono::hours(1)); }

 private:
  struct Node {
    explicit Node(uint64_t seed)
        : client(seed), authority(Start() - std::chrono::seconds(60)) {}
    QuotaClient client;
    QuotaAuthority authority;
    std::vector<char> alive;
    size_t authority_index = 0;
    std::deque<TimePoint> waiting;
    bool is_paused = false;
  };

  void UpdateView(size_t index) {
    Node& node = *m_nodes[index];
    std::vector<std::string> ids;
    for (size_t i = 0; i < kNodes; ++i) {
      if (node.alive[i] != 0) ids.push_back(m_ids[i]);
    }
    const std::string* best = QuotaAuthorityOf(ids, kOrganisation);
    node.authority_index = static_cast<size_t>(
        std::find(m_ids.begin(), m_ids.end(), *best) - m_ids.begin());
    node.client.SetLimits(m_limits, kNodes);
    node.client.OnMembersChanged();
    const QuotaMembers members{.visible = ids.size(), .known = kNodes};
    node.authority.SetMembers(members, m_now);
    node.authority.Forget(
        [&](std::string_view) { return node.authority_index == index; });
  }

  void DrawRequests() {
    const auto at = std::chrono::duration_cast<milliseconds>(m_now - Start());
    m_oracle += m_limit.rate / 1'000;
    m_oracle = std::min(m_oracle, std::max(m_limit.burst, 1.0));
    for (size_t i = 0; i < kNodes; ++i) {
      const double mean = m_demand(i, at) / 1'000;
      if (mean <= 0 || std::uniform_real_distribution<>()(m_rng) >= mean) {
        continue;
      }
      if (m_nodes[i]->is_paused) continue;
      ++m_asked;
      if (m_oracle >= 1) {
        m_oracle -= 1;
        ++m_passable;
      }
      Node& node = *m_nodes[i];
      const QuotaDecision decision = node.client.Take(kOrganisation, m_now);
      Count(decision);
      if (!std::holds_alternative<QuotaWait>(decision)) continue;
      node.waiting.push_back(m_now);
      ++m_waited;
    }
  }

  void Count(const QuotaDecision& decision) {
    const auto* taken = std::get_if<QuotaTaken>(&decision);
    if (taken == nullptr) return;
    m_ran.push_back(m_now);
    if (taken->is_fallback) ++m_fallback;
  }

  void RunNode(size_t index) {
    Node& node = *m_nodes[index];
    if (m_now.time_since_epoch() % milliseconds(50) == milliseconds(0)) {
      node.authority.Advance(m_now);
    }
    while (!node.waiting.empty() &&
           m_now - node.waiting.front() >= QuotaClient::kMaxWait) {
      node.waiting.pop_front();
      Count(node.client.StopWaiting(kOrganisation, m_now));
    }
    if (node.client.NextRequestsAt() > m_now) return;
    for (const auto& request : node.client.PopRequests(m_now)) {
      const size_t to = node.authority_index;
      Send(index, to, [this, index, to, request, sent = m_now] {
        Answer(index, to, request, sent);
      });
    }
  }

  void Answer(size_t from, size_t authority, const QuotaRequest& request,
              TimePoint sent) {
    Node& node = *m_nodes[authority];
    std::optional<QuotaGrant> grant;
    if (node.authority_index == authority) {
      grant = node.authority.Answer(m_ids[from], request, m_limit, m_now);
    }
    if (!grant) return;
    Send(authority, from, [this, from, grant, sent] {
      Node& asker = *m_nodes[from];
      asker.client.OnGrant(*grant, sent, m_now);
      std::erase_if(asker.waiting, [&](TimePoint) {
        const auto decision = asker.client.TakeWaiting(kOrganisation, m_now);
        Count(decision);
        return !std::holds_alternative<QuotaWait>(decision);
      });
    });
  }

  void Send(size_t from, size_t to, std::function<void()> deliver) {
    ++m_messages;
    if (!reaches(from, to)) return;
    if (std::uniform_real_distribution<>()(m_rng) < loss) return;
    const milliseconds delay(ZoneOf(from) == ZoneOf(to) ? 1 : 2);
    m_events.emplace(m_now + delay, [this, to, deliver = std::move(deliver)] {
      Deliver(to, deliver);
    });
  }
  // A paused process finds its datagrams when it resumes.
  void Deliver(size_t to, const std::function<void()>& deliver) {
    if (!m_nodes[to]->is_paused) {
      deliver();
      return;
    }
    m_events.emplace(m_now + milliseconds(1),
                     [this, to, deliver] { Deliver(to, deliver); });
  }

  QuotaLimit m_limit;
  DemandAt m_demand;
  std::mt19937_64 m_rng;
  std::shared_ptr<const QuotaLimits> m_limits;
  std::vector<std::string> m_ids;
  std::vector<std::unique_ptr<Node>> m_nodes;
  TimePoint m_now = Start();
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::vector<TimePoint> m_ran;
  double m_oracle = 0;
  size_t m_asked = 0;
  size_t m_passable = 0;
  size_t m_fallback = 0;
  size_t m_waited = 0;
  size_t m_messages = 0;
};

QuotaMesh::DemandAt Even(double rate) {
  return [rate](size_t, milliseconds) { return rate / kNodes; };
}

constexpr milliseconds kFault{10'000};
constexpr milliseconds kRun{30'000};

}  // namespace

TEST_CASE("A steady organisation below its quota is never refused", "[quota]") {
  QuotaMesh mesh({.rate = 200, .burst = 100}, Even(150));
  mesh.Run(kRun);
  mesh.Report("steady, 150 of 200/s");
  CHECK(mesh.Most() <= mesh.Bound());
  CHECK(mesh.Lost() < 0.02);
}

TEST_CASE("An eightfold demand stays within the quota and uses all of it",
          "[quota]") {
  const double burst = GENERATE(10.0, 100.0);
  QuotaMesh mesh({.rate = 100, .burst = burst}, [](size_t, milliseconds at) {
    return (at > kFault ? 640.0 : 80.0) / kNodes;
  });
  mesh.Run(kRun);
  mesh.Report("eightfold, burst " + std::to_string(burst));
  CHECK(mesh.Most() <= mesh.Bound());
  CHECK(mesh.Lost() < 0.05);
}

TEST_CASE("Demand that moves between zones is served", "[quota]") {
  QuotaMesh mesh({.rate = 100, .burst = 50}, [](size_t node, milliseconds at) {
    const size_t zone = static_cast<size_t>(at.count() / 3'000) % kZones;
    return QuotaMesh::ZoneOf(node) == zone ? 85.0 * kZones / kNodes : 0;
  });
  mesh.Run(kRun);
  mesh.Report("moving between zones, 85 of 100/s");
  CHECK(mesh.Most() <= mesh.Bound());
  CHECK(mesh.Lost() < 0.05);
}

TEST_CASE("An organisation with two requests a second is served", "[quota]") {
  QuotaMesh mesh({.rate = 2, .burst = 4}, Even(1.8));
  mesh.Run(milliseconds(120'000));
  mesh.Report("small, 1.8 of 2/s");
  CHECK(mesh.Most() <= mesh.Bound());
  CHECK(mesh.Lost() < 0.05);
}

TEST_CASE("The quota holds while its authority is killed", "[quota]") {
  const double rate = GENERATE(4.0, 100.0, 400.0);
  QuotaMesh mesh({.rate = rate, .burst = rate / 2}, Even(rate * 2));
  mesh.At(kFault, [&] {
    const size_t authority = mesh.Authority();
    mesh.Pause(authority, true);
    mesh.DetectEverywhere(authority, false);
  });
  mesh.Run(kRun);
  mesh.Report("authority killed, rate " + std::to_string(rate));
  CHECK(mesh.Most() <= mesh.Bound());
  CHECK(mesh.Lost() < 0.15);
}

TEST_CASE("The quota holds while its authority is paused for 3 s", "[quota]") {
  const double rate = GENERATE(4.0, 100.0, 400.0);
  QuotaMesh mesh({.rate = rate, .burst = rate / 2}, Even(rate * 2));
  size_t authority = 0;
  mesh.At(kFault, [&] {
    authority = mesh.Authority();
    mesh.Pause(authority, true);
    mesh.DetectEverywhere(authority, false);
  });
  mesh.At(kFault + milliseconds(3'000), [&] {
    mesh.Pause(authority, false);
    mesh.DetectEverywhere(authority, true);
  });
  mesh.Run(kRun);
  mesh.Report("authority paused 3 s, rate " + std::to_string(rate));
  CHECK(mesh.Most() <= mesh.Bound());
  CHECK(mesh.Lost() < 0.2);
}

TEST_CASE("Both sides of a partition keep the quota together", "[quota]") {
  const double rate = GENERATE(4.0, 100.0, 400.0);
  // The zones of one side. The authority is on the smaller or larger one.
  const size_t side_zones = GENERATE(1, 2, 3);
  QuotaMesh mesh({.rate = rate, .burst = rate / 2}, Even(rate * 3));
  const size_t zone = QuotaMesh::ZoneOf(mesh.Authority());
  const auto side = [=](size_t node) {
    return (QuotaMesh::ZoneOf(node) + kZones - zone) % kZones < side_zones;
  };
  const auto detect = [&](bool alive, milliseconds min, milliseconds max) {
    for (size_t a = 0; a < kNodes; ++a) {
      for (size_t b = 0; b < kNodes; ++b) {
        if (side(a) != side(b)) mesh.Detect(a, b, alive, min, max);
      }
    }
  };
  mesh.At(kFault, [&] {
    mesh.reaches = [=](size_t a, size_t b) { return side(a) == side(b); };
    detect(false, milliseconds(1'000), milliseconds(2'200));
  });
  mesh.At(kFault + milliseconds(8'000), [&] {
    mesh.reaches = [](size_t, size_t) { return true; };
    detect(true, milliseconds(100), milliseconds(1'500));
  });
  mesh.Run(kRun);
  mesh.Report("partition, authority with " + std::to_string(side_zones) +
              " of 4 zones, rate " + std::to_string(rate));
  CHECK(mesh.Most() <= mesh.Bound());
  CHECK(mesh.Lost() < 0.2);
}

TEST_CASE("Nodes that only cannot reach the authority keep the quota",
          "[quota]") {
  QuotaMesh mesh({.rate = 400, .burst = 100}, Even(1'200));
  const size_t zone = QuotaMesh::ZoneOf(mesh.Authority());
  mesh.At(kFault, [&] {
    mesh.reaches = [=](size_t a, size_t b) {
      const size_t first = QuotaMesh::ZoneOf(a);
      const size_t second = QuotaMesh::ZoneOf(b);
      const size_t cut = (zone + 1) % kZones;
      return !((first == zone && second == cut) ||
               (first == cut && second == zone));
    };
  });
  mesh.Run(kRun);
  mesh.Report("one pair of zones cut, rate 400");
  CHECK(mesh.Most() <= mesh.Bound());
}

TEST_CASE("An authority that restarts at once grants nothing twice",
          "[quota]") {
  QuotaMesh mesh({.rate = 400, .burst = 200}, Even(800));
  for (int i = 0; i < 4; ++i) {
    mesh.At(kFault + i * milliseconds(1'200),
            [&] { mesh.Restart(mesh.Authority()); });
  }
  mesh.Run(kRun);
  mesh.Report("authority restarted four times, rate 400");
  CHECK(mesh.Most() <= mesh.Bound());
}

TEST_CASE("Two authorities at once keep the quota", "[quota]") {
  QuotaMesh mesh({.rate = 400, .burst = 200}, Even(1'200));
  // Half of the nodes suspect the authority wrongly, until it refutes that.
  mesh.At(kFault, [&] {
    const size_t authority = mesh.Authority();
    for (size_t i = 0; i < kNodes; i += 2) {
      if (i == authority) continue;
      mesh.Detect(i, authority, false, milliseconds(0), milliseconds(300));
      mesh.Detect(i, authority, true, milliseconds(800), milliseconds(1'500));
    }
  });
  mesh.Run(kRun);
  mesh.Report("authority suspected by half of the nodes, rate 400");
  CHECK(mesh.Most() <= mesh.Bound());
}

TEST_CASE("Lost messages of quotas are repeated", "[quota]") {
  QuotaMesh mesh({.rate = 100, .burst = 50}, Even(90));
  mesh.loss = GENERATE(0.02, 0.1);
  mesh.Run(kRun);
  mesh.Report("messages lost: " + std::to_string(mesh.loss) + ", 90 of 100/s");
  CHECK(mesh.Most() <= mesh.Bound());
  CHECK(mesh.Lost() < 0.05);
}

TEST_CASE("A lowered quota holds one window later", "[quota]") {
  QuotaMesh mesh({.rate = 400, .burst = 200}, Even(800));
  mesh.Run(kFault);
  const size_t before = mesh.Ran();
  mesh.SetLimit({.rate = 50, .burst = 25});
  mesh.Run(milliseconds(5'000));
  CHECK(static_cast<double>(mesh.Ran() - before) <= mesh.Bound() + 40);
  const size_t middle = mesh.Ran();
  mesh.Run(milliseconds(5'000));
  CHECK(static_cast<double>(mesh.Ran() - middle) <= mesh.Bound());
}

}  // namespace kumquatmoor
