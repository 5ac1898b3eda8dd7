#include "kumquatmoor/coordination/quota_exchange.h"

#include <catch2/catch.hpp>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

QuotaRequest Request(const std::string& organisation) {
  QuotaRequest request;
  request.set_organisation(organisation);
  request.set_wanted(1);
  return request;
}

// Two exchanges that know each other.
struct Pair {
  Pair() {
    QuotaLimits all;
    for (int i = 0; i < 100; ++i) {
      const std::string name = "o" + std::to_string(i);
      all[name] = {.rate = 10, .burst = 10};
      requests.push_back(Request(name));
    }
    const auto limits = std::make_shared<const QuotaLimits>(std::move(all));
    MemberList members;
    for (const std::string id : {"a", "b"}) {
      MemberRecord member;
      member.set_id(id);
      member.set_zone("z");
      member.set_incarnation(1);
      members.Join(member, kStart);
    }
    for (auto* exchange : {&a, &b}) {
      exchange->SetLimits(limits);
      CHECK(exchange->SetMembers(members, kStart));
      CHECK_FALSE(exchange->SetMembers(members, kStart));
      for (int i = 1; i <= 100; ++i) {
        exchange->Advance(kStart + i * milliseconds(50));
      }
    }
  }
  QuotaExchange a{"a", kStart};
  QuotaExchange b{"b", kStart};
  std::vector<QuotaRequest> requests;
  TimePoint now = kStart + std::chrono::seconds(5);
};

}  // namespace

TEST_CASE("Requests for several organisations share datagrams", "[quota]") {
  Pair pair;
  const auto asked = pair.a.Ask(pair.requests, pair.now, pair.now);
  size_t granted = asked.grants.size();
  CHECK(granted > 20);
  CHECK(asked.messages.size() <= 4);
  for (auto message : asked.messages) {
    CHECK(message.to == "b");
    message.datagram.set_from("a");
    const auto answer = pair.b.OnDatagram(message.datagram, pair.now);
    REQUIRE(answer.messages.size() == 1);
    Datagram reply = answer.messages[0].datagram;
    reply.set_from("b");
    CHECK(reply.ByteSizeLong() < 1'200);
    const auto taken = pair.a.OnDatagram(reply, pair.now);
    CHECK(taken.sent == pair.now);
    granted += taken.grants.size();
    // A repeated datagram grants nothing again.
    CHECK(pair.a.OnDatagram(reply, pair.now).grants.empty());
  }
  CHECK(granted == pair.requests.size());
}

// Guards against two members that grant tokens of the same organisation.
TEST_CASE("A member that is not the authority does not reply", "[quota]") {
  Pair pair;
  Datagram datagram;
  datagram.set_kind(Datagram::QUOTA);
  datagram.set_from("x");
  for (const auto& request : pair.requests) {
    *datagram.add_quota_requests() = request;
  }
  size_t granted = 0;
  for (auto* exchange : {&pair.a, &pair.b}) {
    const auto result = exchange->OnDatagram(datagram, pair.now);
    REQUIRE(result.messages.size() == 1);
    granted +=
        static_cast<size_t>(result.messages[0].datagram.quota_grants_size());
  }
  CHECK(granted == pair.requests.size());
}

}  // namespace kumquatmoor
