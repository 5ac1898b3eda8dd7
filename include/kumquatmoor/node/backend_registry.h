#ifndef KUMQUATMOOR_NODE_BACKEND_REGISTRY_H_
#define KUMQUATMOOR_NODE_BACKEND_REGISTRY_H_

// BackendRegistry: the backend servers that announced themselves to this node.
//
//   BackendRegistry registry;
//   const Result<Announcement> parsed = ParseAnnouncement(json);
//   if (parsed && registry.Announce(*parsed, now) == AnnounceOutcome::kChanged)
//     PublishEndpoints();
//   if (registry.Expire(now)) PublishEndpoints();
//
// A backend server renews its announcement before its time to live ends;
// otherwise Expire removes it. Each address holds one backend server.
// Announcements are ordered by the start time of the process, and within a
// process by their sequence number; an older one changes nothing.
//
// A backend server that deregistered is kept as draining until it expires or
// another process announces itself at its address.
//
// Not thread-safe; owned by the control thread.

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/node/admission.h"
#include "kumquatmoor/protocol/failure.h"
#include "kumquatmoor/state/cold_backend.h"

namespace kumquatmoor {

struct Announcement {
  std::string instance;    // Id of the process, "" if it has none.
  int64_t started_ms = 0;  // Unix time of the process's start, 0 if unknown.
  uint64_t sequence = 0;   // Increases with each announcement of the process.
  std::string service;
  std::string version;
  std::string address;       // HTTP, "IP:PORT".
  uint32_t slots = 1;        // Requests that it runs concurrently.
  uint32_t connections = 1;  // Connections that it accepts.
  bool draining = false;
  std::chrono::milliseconds ttl{3'000};
  // Remaining warm-up time, during which it responds more slowly.
  std::chrono::milliseconds cold_left{0};
};

// Sent by a backend server that leaves and must receive no further requests.
struct Deregistration {
  std::string instance;
  int64_t started_ms = 0;  // Unix time of the process's start, 0 if unknown.
  uint64_t sequence = 0;   // 0 if unknown.
};

enum class AnnounceOutcome {
  kChanged,  // A new backend server or process, or a changed property.
  kRenewed,  // Only the time to live was extended.
  kStale     // Older than the announcement on record; ignored.
};

// Returns true for 1 to kMaxNameBytes visible ASCII characters. Other nodes
// discard a datagram with an id that is not valid text.
bool IsInstanceId(std::string_view text);

// Parses an announcement from JSON. Fails with kInvalid and names the key that
// is wrong.
Result<Announcement> ParseAnnouncement(std::string_view json);

class BackendRegistry {
 public:
  // `process_age` is how long ago the process started, if this is its first
  // announcement to this node but not its first one.
  AnnounceOutcome Announce(const Announcement& announcement, TimePoint now,
                           std::chrono::milliseconds process_age = {});
  // Marks the backend server as draining. Returns false if no backend server
  // changed, which includes a deregistration by an earlier process of the
  // instance. A deregistration with a start time is remembered also for an
  // unknown instance, as its announcements may still arrive.
  bool Deregister(const Deregistration& deregistration);
  // Records that the process leaves. It may have deregistered with an earlier
  // incarnation of this node, so that a late announcement of the process would
  // otherwise register it as available. Returns true if this marked a backend
  // server as draining.
  bool NoteLeaving(const std::string& instance, int64_t started_ms);
  // Sets whether the version has retired: it lost its share by a move, and its
  // last request has ended.
  void SetRetired(const std::string& service, const std::string& version,
                  bool retired);
  // Sets the operators' settings by service. Services that are missing have
  // none.
  void SetColdSettings(std::map<std::string, ColdSettings> settings) {
    m_cold_settings = std::move(settings);
  }
  const std::map<std::string, ColdSettings>& GetColdSettings() const {
    return m_cold_settings;
  }
  // The state of the backend server with this address, or of all, is unknown
  // since `at` unless it has announced itself since.
  void NoteColdUnknown(const std::string& address, TimePoint at);
  void NoteAllColdUnknown(TimePoint at);
  // The backend server with this address reports how much longer it is cold.
  void NoteColdReport(const std::string& address,
                      std::chrono::milliseconds cold_left, TimePoint now);
  ColdSettings SettingsOf(const std::string& service) const;
  // Updates which backend servers are cold, for Backends() and Endpoints().
  // Returns the ids of the instances that differ from the last call.
  std::vector<std::string> UpdateCold(TimePoint now);
  // Removes backend servers whose time to live is over. Returns true if there
  // was one.
  bool Expire(TimePoint now);

  // Unix time of the start of the instance's process, 0 if unknown.
  int64_t StartTimeMs(const std::string& instance) const;
  // The registered backend servers for the proxy of this node.
  std::vector<LocalBackend> Backends() const;
  // The same backend servers for the node's member record, which other members
  // receive.
  std::vector<Endpoint> Endpoints() const;

 private:
  struct Entry {
    Announcement announcement;
    // First announcement of the process plus its `cold_left`. Admission counts
    // the cold start from here.
    TimePoint announced_at;
    TimePoint expires_at;
    bool deregistered = false;
    bool retired = false;
    ColdPhase cold_phase;
    // As of the last UpdateCold().
    ColdStatus cold;
    bool is_cold = false;
    TimePoint published_until;  // End of the cold phase, as last published.
  };
  bool IsLeaving(const Announcement& announcement) const;

  std::map<std::string, Entry> m_entries;               // By address.
  std::map<std::string, ColdSettings> m_cold_settings;  // By service.
  // Unix start time of the latest leaving process by instance, 0 if unknown.
  std::map<std::string, int64_t> m_leaving;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_BACKEND_REGISTRY_H_
