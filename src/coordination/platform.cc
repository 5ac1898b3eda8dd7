#include "kumquatmoor/coordination/platform.h"

#include <boost/json.hpp>
#include <utility>

#include "kumquatmoor/transport/http_call.h"

namespace kumquatmoor {
namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kConflictStatus = 409;

struct Request {
  std::string target;
  json::object body;
  std::chrono::milliseconds timeout;
};

Result<json::object> Call(const std::string& address, const Request& request) {
  HttpCallOptions call;
  call.address = address;
  call.target = request.target;
  call.body = json::serialize(request.body);
  call.timeout = request.timeout;
  BOOST_LEAF_AUTO(answer, HttpCall(call));
  if (answer.status == kConflictStatus) {
    return Fail(FailureCode::kConflict, "the key has another version");
  }
  if (answer.status != kOk) {
    return Fail(FailureCode::kUnknown,
                "the platform answered " + std::to_string(answer.status));
  }
  json::error_code error;
  auto value = json::parse(answer.body, error);
  if (error || !value.is_object()) {
    return Fail(FailureCode::kUnknown, "the platform's answer is not JSON");
  }
  return std::move(value.as_object());
}

uint64_t VersionIn(const json::object& answer) {
  const auto* version = answer.if_contains("version");
  if (version == nullptr || !version->is_int64()) return 0;
  return static_cast<uint64_t>(version->as_int64());
}

PlatformEntry EntryIn(const json::object& answer) {
  PlatformEntry entry;
  entry.version = VersionIn(answer);
  const auto* value = answer.if_contains("value");
  if (value != nullptr && value->is_string()) {
    entry.value = std::string(value->as_string());
  }
  return entry;
}

bool FlagIn(const json::object& answer, std::string_view key) {
  const auto* flag = answer.if_contains(key);
  return flag != nullptr && flag->is_bool() && flag->as_bool();
}

// Counts `result` as failed unless it is a value.
template <typename T>
Result<T> Counted(Result<T> result, std::atomic<uint64_t>* failed) {
  if (!result) ++*failed;
  return result;
}

}  // namespace

Result<PlatformEntry> HttpPlatform::Get(const std::string& key) {
  ++m_calls.get;
  const Request request{.target = "/v1/get",
                        .body = {{"key", key}},
                        .timeout = m_options.timeout};
  BOOST_LEAF_AUTO(answer,
                  Counted(Call(m_options.address, request), &m_calls.failed));
  return EntryIn(answer);
}

Result<uint64_t> HttpPlatform::CompareAndSwap(const std::string& key,
                                              uint64_t expected_version,
                                              const std::string& value) {
  ++m_calls.swap;
  const Request request{.target = "/v1/cas",
                        .body = {{"key", key},
                                 {"expected_version", expected_version},
                                 {"value", value}},
                        .timeout = m_options.timeout};
  BOOST_LEAF_AUTO(answer,
                  Counted(Call(m_options.address, request), &m_calls.failed));
  return VersionIn(answer);
}

Result<PlatformEntry> HttpPlatform::Watch(const std::string& key,
                                          uint64_t after_version,
                                          std::chrono::milliseconds wait) {
  ++m_calls.watch;
  const Request request{.target = "/v1/watch",
                        .body = {{"key", key},
                                 {"after_version", after_version},
                                 {"wait_ms", wait.count()}},
                        .timeout = m_options.timeout + wait};
  BOOST_LEAF_AUTO(answer,
                  Counted(Call(m_options.address, request), &m_calls.failed));
  return EntryIn(answer);
}

Result<bool> HttpPlatform::HoldLease(const LeaseRequest& lease) {
  ++m_calls.lease;
  const Request request{.target = "/v1/lease",
                        .body = {{"name", lease.name},
                                 {"owner", lease.owner},
                                 {"ttl_ms", lease.ttl.count()}},
                        .timeout = m_options.timeout};
  BOOST_LEAF_AUTO(answer,
                  Counted(Call(m_options.address, request), &m_calls.failed));
  return FlagIn(answer, "held");
}

Result<bool> HttpPlatform::Delete(const std::string& key) {
  ++m_calls.remove;
  const Request request{.target = "/v1/delete",
                        .body = {{"key", key}},
                        .timeout = m_options.timeout};
  BOOST_LEAF_AUTO(answer,
                  Counted(Call(m_options.address, request), &m_calls.failed));
  return FlagIn(answer, "deleted");
}

}  // namespace kumquatmoor
