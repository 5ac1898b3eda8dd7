#include "kumquatmoor/node/node_settings.h"

#include <spdlog/common.h>

#include <algorithm>
#include <map>

#include "kumquatmoor/protocol/json_reader.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr double kMsPerSecond = 1'000;
constexpr int64_t kMaxDurationMs = 600'000;

milliseconds ReadDuration(JsonReader* reader, std::string_view key,
                          milliseconds fallback, int64_t minimum_ms) {
  return milliseconds(reader->Integer(key, {.fallback = fallback.count(),
                                            .minimum = minimum_ms,
                                            .maximum = kMaxDurationMs}));
}

// Reports addresses of this node that are equal to an earlier one.
void CheckDistinctAddresses(const NodeSettings& settings, JsonReader* reader) {
  const std::map<std::string, std::string> addresses = {
      {"data_address", settings.data_address},
      {"control_address", settings.control_address},
      {"admin_address", settings.admin_address}};
  std::map<std::string, std::string> keys_by_address = {
      {settings.caller_address, "caller_address"}};
  for (const auto& [key, address] : addresses) {
    if (address.empty()) continue;
    auto [used, added] = keys_by_address.emplace(address, key);
    if (!added) reader->AddProblem(key, "is the same as " + used->second);
  }
}

void CheckLogLevel(const NodeSettings& settings, JsonReader* reader) {
  const auto level = spdlog::level::from_str(settings.log_level);
  if (level == spdlog::level::off && settings.log_level != "off") {
    reader->AddProblem("log_level",
                       "expected trace, debug, info, warning, error or off");
  }
}

// Reads an address that may be missing or empty.
std::string ReadOptionalAddress(JsonReader* reader, std::string_view key) {
  std::string address = reader->String(key, "");
  if (!address.empty() && !IsAddress(address)) {
    reader->AddProblem(key, "expected IP:PORT");
  }
  return address;
}

// Derives the times of a drain from the time between SIGTERM and SIGKILL.
void ApplyShutdownGrace(milliseconds grace, NodeSettings* settings) {
  constexpr double kDrainPart = 0.88;
  // The rest of the grace is left to exit.
  constexpr double kReplyPart = 0.06;
  // Callers are told within a few readiness checks. Half of the grace is left
  // to the requests that arrive last.
  constexpr double kMaxCallerPart = 0.5;
  constexpr milliseconds kMaxCallerGrace{3'000};
  const auto part = [&](double fraction) {
    return std::chrono::duration_cast<milliseconds>(grace * fraction);
  };
  settings->shutdown_grace = grace;
  settings->drain_timeout = part(kDrainPart);
  settings->reply_timeout = part(kReplyPart);
  settings->caller_grace = std::min(kMaxCallerGrace, part(kMaxCallerPart));
}

// Reads the keys by which a deployment adapts the node to its environment.
void ReadDeploymentKeys(JsonReader* reader, NodeSettings* settings) {
  const std::string kind = reader->String("configuration", "table");
  if (kind == "operator") {
    settings->configuration = ConfigurationKind::kOperator;
  } else if (kind != "table") {
    reader->AddProblem("configuration", "expected table or operator");
  }
  settings->readiness_address =
      ReadOptionalAddress(reader, "readiness_address");
  settings->announce_address = ReadOptionalAddress(reader, "announce_address");
  settings->service = reader->String("service", "");
  settings->backend_address = ReadOptionalAddress(reader, "backend_address");
  const double interval_s = reader->Number(
      "announce_interval_s", {.fallback = 1.5, .minimum = 0.1, .maximum = 60});
  settings->announce_interval =
      milliseconds(static_cast<int64_t>(interval_s * kMsPerSecond));
  settings->waiting_per_slot = reader->Integer(
      "waiting_per_slot", {.fallback = 0, .minimum = 0, .maximum = 1'000});
  settings->retry_ratio = reader->Number(
      "retry_ratio", {.fallback = 0.2, .minimum = 0, .maximum = 1});
  const double revocation_s = reader->Number(
      "key_revocation_s", {.fallback = 0, .minimum = 0, .maximum = 3'600});
  settings->key_revocation =
      milliseconds(static_cast<int64_t>(revocation_s * kMsPerSecond));
  settings->hedge_percent = reader->Number(
      "hedge_percent", {.fallback = 0, .minimum = 0, .maximum = 100});
  settings->link_mbps = reader->Number(
      "link_mbps", {.fallback = 0, .minimum = 0, .maximum = 1e6});
  settings->callers_use_link = reader->Bool("callers_use_link", false);
  settings->memory_mb = reader->Integer(
      "memory_mb", {.fallback = 0, .minimum = 0, .maximum = 1'000'000});
  const double grace_s = reader->Number(
      "shutdown_grace_s", {.fallback = 0, .minimum = 0, .maximum = 600});
  if (grace_s > 0) {
    ApplyShutdownGrace(
        milliseconds(static_cast<int64_t>(grace_s * kMsPerSecond)), settings);
  }
  settings->caller_grace =
      ReadDuration(reader, "caller_grace_ms", settings->caller_grace, 0);
}

}  // namespace

Result<NodeSettings> ReadNodeSettings(const std::string& path) {
  BOOST_LEAF_AUTO(value, ReadJsonFile(path));
  std::vector<std::string> problems;
  JsonReader reader(value, "", &problems);
  NodeSettings settings;
  settings.id = reader.RequiredString("id");
  settings.zone = reader.RequiredString("zone");
  settings.caller_address = reader.RequiredAddress("caller_address");
  settings.data_address = reader.RequiredAddress("data_address");
  settings.control_address = reader.RequiredAddress("control_address");
  settings.admin_address = reader.RequiredAddress("admin_address");
  settings.platform_address = reader.RequiredAddress("platform_address");
  settings.seeds = reader.Addresses("seeds");
  settings.default_deadline = ReadDuration(&reader, "default_deadline_ms",
                                           settings.default_deadline, 1);
  settings.probe_interval =
      ReadDuration(&reader, "probe_interval_ms", settings.probe_interval, 50);
  settings.max_attempts = reader.Integer(
      "max_attempts", {.fallback = 3, .minimum = 1, .maximum = 10});
  settings.gateways_per_zone = reader.Integer(
      "gateways_per_zone", {.fallback = 2, .minimum = 1, .maximum = 5});
  ReadDeploymentKeys(&reader, &settings);
  settings.drain_timeout =
      ReadDuration(&reader, "drain_timeout_ms", settings.drain_timeout, 0);
  settings.log_level = reader.String("log_level", settings.log_level);
  settings.log_file = reader.String("log_file", "");
  reader.RejectUnknownKeys();
  CheckDistinctAddresses(settings, &reader);
  CheckLogLevel(settings, &reader);
  if (problems.empty()) return settings;
  std::string text;
  for (const auto& problem : problems) {
    if (!text.empty()) text += "\n";
    text.append(path).append(": ").append(problem);
  }
  return Fail(FailureCode::kInvalid, text);
}

}  // namespace kumquatmoor
