#include "kumquatmoor/node/backend_registry.h"

#include <algorithm>
#include <tuple>

#include "kumquatmoor/protocol/json_reader.h"

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;

constexpr int64_t kMaxSlots = 100'000;
constexpr int64_t kMaxTtlMs = 60'000;
constexpr int64_t kDefaultTtlMs = 3'000;
// An end of a cold phase that is later by less than this is not published.
constexpr milliseconds kColdTolerance{200};

// The fields whose change has to reach the proxy and the other members.
auto PublishedFields(const Announcement& a) {
  return std::tie(a.service, a.version, a.address, a.slots, a.connections,
                  a.draining);
}

}  // namespace

bool IsInstanceId(std::string_view text) {
  const auto is_visible = [](char c) { return c > ' ' && c <= '~'; };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), is_visible);
}

Result<Announcement> ParseAnnouncement(std::string_view text) {
  boost::json::error_code error;
  const auto value = boost::json::parse(text, error);
  if (error) return Fail(FailureCode::kInvalid, "the body is not JSON");
  std::vector<std::string> problems;
  JsonReader reader(value, "", &problems);
  Announcement announcement;
  announcement.service = reader.RequiredName("service");
  announcement.version = reader.RequiredName("version");
  announcement.address = reader.RequiredAddress("address");
  announcement.slots = static_cast<uint32_t>(reader.Integer(
      "slots", {.fallback = 1, .minimum = 1, .maximum = kMaxSlots}));
  announcement.connections = static_cast<uint32_t>(reader.Integer(
      "connections", {.fallback = 1, .minimum = 1, .maximum = kMaxSlots}));
  announcement.draining = reader.Bool("draining", false);
  announcement.ttl = std::chrono::milliseconds(reader.Integer(
      "ttl_ms",
      {.fallback = kDefaultTtlMs, .minimum = 100, .maximum = kMaxTtlMs}));
  reader.RejectUnknownKeys();
  if (!problems.empty()) return Fail(FailureCode::kInvalid, problems.front());
  return announcement;
}

namespace {

// True if `a` comes from an earlier process than `b`, or was sent earlier by
// the same process. Neither is older if two processes have the same, or an
// unknown, start time.
bool IsOlder(const Announcement& a, const Announcement& b) {
  if (a.started_ms != b.started_ms) return a.started_ms < b.started_ms;
  return a.instance == b.instance && a.sequence < b.sequence;
}

}  // namespace

AnnounceOutcome BackendRegistry::Announce(const Announcement& announcement,
                                          TimePoint now,
                                          milliseconds process_age) {
  auto [found, added] = m_entries.try_emplace(announcement.address);
  Entry& entry = found->second;
  if (!added && IsOlder(announcement, entry.announcement)) {
    return AnnounceOutcome::kStale;
  }
  const bool restarted =
      added || entry.announcement.instance != announcement.instance ||
      entry.announcement.started_ms != announcement.started_ms;
  const bool changed = restarted || PublishedFields(entry.announcement) !=
                                        PublishedFields(announcement);
  if (restarted) {
    entry = Entry{.announced_at = now + announcement.cold_left,
                  .deregistered = IsLeaving(announcement)};
    entry.cold_phase.OnProcess(now, process_age);
  }
  entry.cold_phase.OnReport(now, announcement.cold_left);
  entry.announcement = announcement;
  entry.expires_at = now + announcement.ttl;
  return changed ? AnnounceOutcome::kChanged : AnnounceOutcome::kRenewed;
}

bool BackendRegistry::Deregister(const Deregistration& deregistration) {
  for (auto& [address, entry] : m_entries) {
    const Announcement& known = entry.announcement;
    if (known.instance != deregistration.instance || entry.deregistered)
      continue;
    const bool earlier_process = deregistration.started_ms != 0 &&
                                 deregistration.started_ms < known.started_ms;
    if (earlier_process) continue;
    entry.deregistered = true;
    return true;
  }
  // Without a start time, a later process of the instance could not be told
  // from the one that left.
  if (deregistration.started_ms != 0) {
    NoteLeaving(deregistration.instance, deregistration.started_ms);
  }
  return false;
}

bool BackendRegistry::IsLeaving(const Announcement& announcement) const {
  const auto found = m_leaving.find(announcement.instance);
  if (announcement.instance.empty() || found == m_leaving.end()) return false;
  return found->second == 0 || announcement.started_ms <= found->second;
}

bool BackendRegistry::NoteLeaving(const std::string& instance,
                                  int64_t started_ms) {
  int64_t& known = m_leaving[instance];
  known = std::max(known, started_ms);
  bool changed = false;
  for (auto& [address, entry] : m_entries) {
    if (entry.deregistered || !IsLeaving(entry.announcement)) continue;
    entry.deregistered = true;
    changed = true;
  }
  return changed;
}

int64_t BackendRegistry::StartTimeMs(const std::string& instance) const {
  for (const auto& [address, entry] : m_entries) {
    const Announcement& known = entry.announcement;
    if (known.instance == instance) return known.started_ms;
  }
  return 0;
}

void BackendRegistry::SetRetired(const std::string& service,
                                 const std::string& version, bool retired) {
  for (auto& [address, entry] : m_entries) {
    const Announcement& known = entry.announcement;
    if (known.service == service && known.version == version) {
      entry.retired = retired;
    }
  }
}

ColdSettings BackendRegistry::SettingsOf(const std::string& service) const {
  const auto found = m_cold_settings.find(service);
  return found == m_cold_settings.end() ? ColdSettings() : found->second;
}

void BackendRegistry::NoteColdUnknown(const std::string& address,
                                      TimePoint at) {
  const auto found = m_entries.find(address);
  if (found != m_entries.end()) found->second.cold_phase.OnUnknown(at);
}

void BackendRegistry::NoteColdReport(const std::string& address,
                                     milliseconds cold_left, TimePoint now) {
  const auto found = m_entries.find(address);
  if (found != m_entries.end())
    found->second.cold_phase.OnReport(now, cold_left);
}

void BackendRegistry::NoteAllColdUnknown(TimePoint at) {
  for (auto& [address, entry] : m_entries) entry.cold_phase.OnUnknown(at);
}

std::vector<std::string> BackendRegistry::UpdateCold(TimePoint now) {
  std::vector<std::string> changed;
  for (auto& [address, entry] : m_entries) {
    const ColdStatus status =
        entry.cold_phase.Status(SettingsOf(entry.announcement.service));
    const bool is_cold = status.IsCold(now);
    // Announcements repeat the end of a cold phase with small differences. An
    // earlier end is published once it is reached.
    const bool is_other =
        is_cold != entry.is_cold || status.rate != entry.cold.rate ||
        (is_cold && status.until - kColdTolerance > entry.published_until);
    entry.is_cold = is_cold;
    entry.cold = status;
    if (!is_other) continue;
    entry.published_until = status.until;
    changed.push_back(entry.announcement.instance);
  }
  return changed;
}

bool BackendRegistry::Expire(TimePoint now) {
  return std::erase_if(m_entries, [&](const auto& item) {
           return item.second.expires_at <= now;
         }) > 0;
}

std::vector<LocalBackend> BackendRegistry::Backends() const {
  std::vector<LocalBackend> backends;
  for (const auto& [address, entry] : m_entries) {
    const Announcement& a = entry.announcement;
    backends.push_back({.service = a.service,
                        .version = a.version,
                        .instance = a.instance,
                        .address = a.address,
                        .slots = a.slots,
                        .connections = a.connections,
                        .draining = a.draining || entry.deregistered,
                        .announced = entry.announced_at,
                        .cold = entry.cold});
  }
  return backends;
}

std::vector<Endpoint> BackendRegistry::Endpoints() const {
  std::vector<Endpoint> endpoints;
  for (const auto& [address, entry] : m_entries) {
    const Announcement& a = entry.announcement;
    Endpoint endpoint;
    endpoint.set_service(a.service);
    endpoint.set_version(a.version);
    endpoint.set_slots(a.slots);
    endpoint.set_connections(a.connections);
    endpoint.set_draining(a.draining || entry.deregistered);
    endpoint.set_retired(entry.retired);
    if (entry.is_cold) endpoint.set_cold_rate(entry.cold.rate);
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

}  // namespace kumquatmoor
