#include <catch2/catch.hpp>

#include "kumquatmoor/coordination/quota_authority.h"
#include "kumquatmoor/coordination/quota_client.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr QuotaLimit kLimit{.rate = 100, .burst = 50};

QuotaRequest Request(uint32_t wanted, uint32_t returned = 0) {
  QuotaRequest request;
  request.set_organisation("acme");
  request.set_wanted(wanted);
  request.set_returned(returned);
  return request;
}

// Ticks as a process that is not paused.
void Run(QuotaAuthority& authority, TimePoint from, TimePoint until) {
  for (TimePoint now = from; now < until; now += milliseconds(50)) {
    authority.Advance(now);
  }
}

QuotaClient ClientOf(QuotaLimit limit) {
  QuotaClient client(1);
  client.SetLimits(std::make_shared<QuotaLimits>(QuotaLimits{{"acme", limit}}),
                   76);
  return client;
}

}  // namespace

TEST_CASE("A returned token is granted again, and none twice", "[quota]") {
  QuotaAuthority authority(kStart - seconds(10));
  Run(authority, kStart - seconds(10), kStart);
  CHECK(authority.Answer("a", Request(50), kLimit, kStart)->tokens() == 50);
  CHECK(authority.Answer("b", Request(1), kLimit, kStart)->tokens() == 0);
  CHECK_FALSE(authority.Answer("a", Request(0, 3), kLimit, kStart));
  CHECK(authority.Answer("b", Request(1), kLimit, kStart)->tokens() == 1);
  // Only "a" has tokens to return, and each of them once.
  authority.Answer("c", Request(0, 50), kLimit, kStart);
  authority.Answer("a", Request(0, 1'000), kLimit, kStart);
  uint32_t again = 0;
  for (int i = 0; i < 100; ++i) {
    again += authority.Answer("b", Request(50), kLimit, kStart)->tokens();
  }
  CHECK(again == 49);
}

TEST_CASE("A bucket is empty after a pause and grows slowly at first",
          "[quota]") {
  QuotaAuthority authority(kStart - seconds(10));
  Run(authority, kStart - seconds(10), kStart);
  authority.Answer("a", Request(1), kLimit, kStart);
  const TimePoint resumed = kStart + seconds(3);
  CHECK(authority.Answer("a", Request(50), kLimit, resumed)->tokens() == 0);
  uint32_t granted = 0;
  const TimePoint later = resumed + milliseconds(150);
  for (int i = 0; i < 20; ++i) {
    granted += authority.Answer("b", Request(50), kLimit, later)->tokens();
  }
  CHECK(granted == 7);
}

TEST_CASE("A bucket of many organisations does not grow without bound",
          "[quota]") {
  QuotaAuthority authority(kStart);
  QuotaRequest request = Request(1);
  for (size_t i = 0; i < kMaxQuotaOrganisations + 10; ++i) {
    request.set_organisation(std::to_string(i));
    CHECK(authority.Answer("a", request, kLimit, kStart));
  }
  CHECK(authority.Size() <= kMaxQuotaOrganisations);
}

TEST_CASE("Tokens expire by the time of the request, not of the reply",
          "[quota]") {
  QuotaClient client = ClientOf(kLimit);
  CHECK(std::holds_alternative<QuotaWait>(client.Take("acme", kStart)));
  CHECK(client.NextRequestsAt() <= kStart + milliseconds(5));
  const auto requests = client.PopRequests(kStart + milliseconds(5));
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].wanted() == 1);
  QuotaGrant grant;
  grant.set_organisation("acme");
  grant.set_is_authority(true);
  grant.set_tokens(5);
  grant.set_valid_ms(400);
  const TimePoint late = kStart + milliseconds(450);
  client.OnGrant(grant, kStart, late);
  CHECK_FALSE(std::holds_alternative<QuotaTaken>(client.Take("acme", late)));
}

TEST_CASE("A denial lasts as long as the authority says", "[quota]") {
  QuotaClient client = ClientOf(kLimit);
  client.Take("acme", kStart);
  client.PopRequests(kStart + milliseconds(2));
  QuotaGrant grant;
  grant.set_organisation("acme");
  grant.set_is_authority(true);
  grant.set_retry_after_ms(120);
  client.OnGrant(grant, kStart, kStart + milliseconds(4));
  const auto decision = client.TakeWaiting("acme", kStart + milliseconds(24));
  REQUIRE(std::holds_alternative<QuotaDenied>(decision));
  CHECK(std::get<QuotaDenied>(decision).retry_after == milliseconds(100));
  CHECK(client.PopRequests(kStart + milliseconds(50)).empty());
  CHECK(std::holds_alternative<QuotaWait>(
      client.Take("acme", kStart + milliseconds(124))));
}

TEST_CASE("A token that is returned late is not used again", "[quota]") {
  QuotaClient client = ClientOf(kLimit);
  client.Return("acme", kStart, kStart + milliseconds(100));
  CHECK(std::holds_alternative<QuotaTaken>(
      client.Take("acme", kStart + milliseconds(101))));
  client.Return("acme", kStart, kStart + milliseconds(500));
  CHECK_FALSE(std::holds_alternative<QuotaTaken>(
      client.Take("acme", kStart + milliseconds(501))));
}

TEST_CASE("A batch without quotas asks for nothing", "[quota]") {
  Batch batch;
  batch.add_organisations()->set_name("acme");
  CHECK(ReadQuotaLimits(batch).empty());
  QuotaClient client(1);
  client.SetLimits(std::make_shared<QuotaLimits>(), 76);
  CHECK_FALSE(client.HasQuota("acme"));
  CHECK(client.NextRequestsAt() == TimePoint::max());
}

}  // namespace kumquatmoor
