#include "kumquatmoor/node/remembered_notices.h"

#include <catch2/catch.hpp>

#include "kumquatmoor/protocol/headers.h"
#include "kumquatmoor/transport/exchange.h"

namespace kumquatmoor {
namespace {

namespace http = boost::beast::http;

constexpr char kMember[] = "n1";
constexpr BackendNotice kLeaving{.leaving = true};

// The notice that a request to kMember brings along.
BackendNotice Remembered(const RememberedNotices& notices,
                         const std::string& instance) {
  http::fields head;
  notices.AddTo(kMember, &head);
  const BackendNotice notice = ReadNoticeHeaders(head);
  if (notice != BackendNotice()) CHECK(head[headers::kInstance] == instance);
  return notice;
}

// The head of a node's own reply.
http::fields Reply(const std::string& instance, const BackendNotice& notice) {
  http::fields head;
  SetNoticeHeaders(instance, notice, &head);
  return head;
}

// Guards against a backend server that gets requests again after its node has
// restarted, as the hosts that had only refusals remembered nothing.
TEST_CASE("A notice in a refusal is remembered", "[remembered-notice]") {
  RememberedNotices notices;
  notices.OnNodeReply(kMember, Reply("i-1", kLeaving));
  CHECK(Remembered(notices, "i-1") == kLeaving);
  // A refusal by the restarted node, which has not heard of it yet.
  notices.OnNodeReply(kMember, Reply("i-1", {}));
  CHECK(Remembered(notices, "i-1") == kLeaving);
  notices.OnNodeReply(kMember, Reply("i-2", {.limit = 5}));
  CHECK(Remembered(notices, "i-2") == BackendNotice{.limit = 5});
}

TEST_CASE("A response without a limit withdraws the remembered one") {
  RememberedNotices notices;
  notices.OnResponse(kMember, "i-1", {.limit = 5});
  CHECK(Remembered(notices, "i-1") == BackendNotice{.limit = 5});
  notices.OnNodeReply(kMember, {});
  notices.OnResponse(kMember, "i-1", {.has_invalid_limit = true});
  CHECK(Remembered(notices, "i-1") == BackendNotice{.limit = 5});
  notices.OnResponse(kMember, "i-1", {});
  CHECK(Remembered(notices, "i-1") == BackendNotice());
}

TEST_CASE("A request carries no notice headers but those of its node") {
  http::fields head = Reply("i-1", {.limit = 5, .leaving = true});
  RememberedNotices().AddTo(kMember, &head);
  CHECK(head.begin() == head.end());
}

}  // namespace
}  // namespace kumquatmoor
