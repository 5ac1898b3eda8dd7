// Plays requests for large responses on a host whose link carries fewer of them
// than its backend server's slots: who is admitted, who is refused, and which
// responses arrive in time.

#include "kumquatmoor/state/link_backlog.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint() + seconds(100);
constexpr double kRate = 1'687'500;  // Nine tenths of 15 Mbit/s.
constexpr size_t kLarge = 90'000;
constexpr milliseconds kObjective{500};
constexpr milliseconds kDeadline{3'000};
constexpr milliseconds kRunTime{90};

std::shared_ptr<LinkBacklog> MakeBacklog() {
  return std::make_shared<LinkBacklog>(kRate);
}

LinkRequest LargeRequest(TimePoint sent) {
  return {.size = {.mean = kLarge, .high = kLarge},
          .run_time = kRunTime,
          .objective = sent + kObjective,
          .deadline = sent + kDeadline};
}

TEST_CASE("Without a known rate, every response is in time") {
  const auto backlog = std::make_shared<LinkBacklog>(0);
  const LinkReservation other(backlog, 1'000'000'000);
  CHECK(backlog->Estimate(LargeRequest(kStart), kStart).in_time);
  CHECK(backlog->TotalWait() == milliseconds(0));
}

TEST_CASE("A response that would be late is refused, with the time to wait") {
  const auto backlog = MakeBacklog();
  std::vector<LinkReservation> admitted;
  LinkEstimate estimate = backlog->Estimate(LargeRequest(kStart), kStart);
  while (estimate.in_time && admitted.size() < 100) {
    admitted.emplace_back(backlog, kLarge);
    estimate = backlog->Estimate(LargeRequest(kStart), kStart);
  }
  // 53 ms each. With a margin of 1.4 for those before it, the sixth is in time
  // and the seventh is not.
  CHECK(admitted.size() == 6);
  CHECK(estimate.wait == backlog->TotalWait() - backlog->TransferTime(kLarge));
}

TEST_CASE("A small response passes large ones") {
  const auto backlog = MakeBacklog();
  std::vector<LinkReservation> admitted;
  for (int i = 0; i < 100; ++i) admitted.emplace_back(backlog, kLarge);
  const LinkRequest small{.size = {.mean = 400, .high = 600},
                          .run_time = milliseconds(28),
                          .objective = kStart + milliseconds(120),
                          .deadline = kStart + milliseconds(300)};
  CHECK(backlog->Estimate(small, kStart).in_time);
  CHECK_FALSE(backlog->Estimate(LargeRequest(kStart), kStart).in_time);
}

TEST_CASE("A late response is admitted if the link is nearly idle") {
  const auto backlog = MakeBacklog();
  const TimePoint sent = kStart - milliseconds(600);
  CHECK(backlog->Estimate(LargeRequest(sent), kStart).in_time);
  const LinkReservation one(backlog, kLarge);
  CHECK(backlog->Estimate(LargeRequest(sent), kStart).in_time);
  const LinkReservation two(backlog, kLarge);
  CHECK_FALSE(backlog->Estimate(LargeRequest(sent), kStart).in_time);
  // Not after its deadline, however idle the link is.
  const LinkRequest expired = LargeRequest(kStart - kDeadline + kRunTime);
  CHECK_FALSE(MakeBacklog()->Estimate(expired, kStart).in_time);
}

TEST_CASE("A reservation follows its response and ends with it") {
  const auto backlog = MakeBacklog();
  {
    LinkReservation reservation(backlog, kLarge);
    CHECK(backlog->TotalWait() == backlog->TransferTime(kLarge));
    reservation.SetSize(2 * kLarge);
    *reservation.SentBytes() += kLarge;
    CHECK(backlog->TotalWait() == backlog->TransferTime(kLarge));
    LinkReservation moved(std::move(reservation));
    CHECK(backlog->TotalWait() == backlog->TransferTime(kLarge));
    *moved.SentBytes() += 3 * kLarge;
    CHECK(backlog->TotalWait() == milliseconds(0));
  }
  CHECK(backlog->TotalWait() == milliseconds(0));
}

// The links of some hosts in virtual time. Responses are sent in the order in
// which they are ready, as by LinkScheduler. A request that a host refuses is
// sent to the next one, as by the proxy.
class LinkModel {
 public:
  struct Totals {
    int requests = 0;
    int in_time = 0;
    int late = 0;     // Complete after the objective.
    int expired = 0;  // Admitted, but not complete by the deadline.
    int refused = 0;  // By all hosts.
  };

  explicit LinkModel(size_t hosts) : m_hosts(hosts) {}

  // Plays `load` times what the links carry. Without admission control, all
  // requests run.
  Totals Play(double load, bool admission_control, uint64_t seed) {
    std::mt19937_64 rng(seed);
    constexpr double kSpread = 0.6;
    std::lognormal_distribution<double> factor(-kSpread * kSpread / 2, kSpread);
    const auto hosts = static_cast<double>(m_hosts.size());
    std::exponential_distribution<double> gap_s(load * hosts * kRate / kLarge);
    ResponseSizes sizes;
    TimePoint next = kStart;
    for (TimePoint now = kStart; now < kStart + seconds(60);
         now += milliseconds(1)) {
      while (next <= now) {
        next += std::chrono::microseconds(
            static_cast<int64_t>(gap_s(rng) * 1'000'000));
        const auto bytes = static_cast<size_t>(kLarge * factor(rng));
        LinkRequest request = LargeRequest(now);
        request.size = sizes.Expected("large");
        const size_t first = rng() % m_hosts.size();
        Request(request, first, now, bytes, admission_control);
        sizes.Add("large", bytes);
      }
      for (Host& host : m_hosts) Send(host, now);
    }
    return m_totals;
  }

 private:
  struct Response {
    TimePoint sent;
    TimePoint ready;
    double left = 0;
    LinkReservation reservation;
  };
  struct Host {
    std::shared_ptr<LinkBacklog> backlog = MakeBacklog();
    std::vector<Response> responses;
  };

  void Request(const LinkRequest& request, size_t first, TimePoint now,
               size_t bytes, bool admission_control) {
    ++m_totals.requests;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      Host& host = m_hosts[(first + i) % m_hosts.size()];
      if (admission_control && !host.backlog->Estimate(request, now).in_time) {
        continue;
      }
      host.responses.push_back(
          {.sent = now,
           .ready = now + kRunTime,
           .left = static_cast<double>(bytes),
           .reservation = {host.backlog, request.size.mean}});
      host.responses.back().reservation.SetSize(bytes);
      return;
    }
    ++m_totals.refused;
  }

  // Sends for one millisecond.
  void Send(Host& host, TimePoint now) {
    double budget = kRate / 1'000;
    while (budget > 0) {
      auto next = host.responses.end();
      for (auto it = host.responses.begin(); it != host.responses.end(); ++it) {
        if (it->ready > now) continue;
        if (next == host.responses.end() || it->ready < next->ready) next = it;
      }
      if (next == host.responses.end()) return;
      const double part = std::min(budget, next->left);
      budget -= part;
      next->left -= part;
      *next->reservation.SentBytes() += static_cast<size_t>(part);
      const milliseconds age =
          std::chrono::duration_cast<milliseconds>(now - next->sent);
      if (next->left > 0 && age < kDeadline) continue;
      if (age >= kDeadline) {
        ++m_totals.expired;
      } else {
        ++(age <= kObjective ? m_totals.in_time : m_totals.late);
      }
      host.responses.erase(next);
    }
  }

  std::vector<Host> m_hosts;
  Totals m_totals;
};

// Large responses at 1.8 times what the link carries (archives on hosts of 15
// Mbit/s). Without admission control, requests run whose responses expire in
// the link.
TEST_CASE("Under overload of the link, admitted responses arrive in time") {
  const uint64_t seed = GENERATE(range(1, 6));
  const auto totals = LinkModel(1).Play(1.8, true, seed);
  const double capacity = totals.requests / 1.8;
  CHECK(totals.in_time >= 0.85 * capacity);
  CHECK(totals.late <= 0.1 * totals.in_time);
  CHECK(totals.expired == 0);
  CHECK(LinkModel(1).Play(1.8, false, seed).expired > 0);
}

TEST_CASE("Below the capacity of the links, refusals cost nothing") {
  const uint64_t seed = GENERATE(range(1, 6));
  const auto with = LinkModel(3).Play(0.7, true, seed);
  const auto without = LinkModel(3).Play(0.7, false, seed);
  CHECK(with.in_time >= 0.99 * without.in_time);
}

}  // namespace
}  // namespace kumquatmoor
