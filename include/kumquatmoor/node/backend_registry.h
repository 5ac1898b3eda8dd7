#ifndef KUMQUATMOOR_NODE_BACKEND_REGISTRY_H_
#define KUMQUATMOOR_NODE_BACKEND_REGISTRY_H_

// BackendRegistry: the backend servers that announced themselves to this node.
//
//   BackendRegistry registry;
//   auto announcement = ParseAnnouncement(json);
//   if (registry.Announce(announcement, now) == AnnounceOutcome::kChanged)
//     PublishEndpoints();
//   if (registry.Expire(now)) PublishEndpoints();
//
// A backend server announces itself again before its time to live ends, or is
// taken out. There is one at an address. Announcements are ordered by the start
// of the process and then by their sequence; a late one changes nothing. Not
// thread-safe; owned by the control thread.

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/node/admission.h"
#include "kumquatmoor/protocol/failure.h"

namespace kumquatmoor {

struct Announcement {
  std::string instance;    // Id of the process, "" if it has none.
  int64_t started_ms = 0;  // Unix time of its start, 0 if it does not say.
  uint64_t sequence = 0;   // Rises with each announcement of the process.
  std::string service;
  std::string version;
  std::string address;       // HTTP.
  uint32_t slots = 1;        // Requests it runs at once.
  uint32_t connections = 1;  // Connections it accepts.
  bool draining = false;
  std::chrono::milliseconds ttl{3'000};
  std::chrono::milliseconds cold_left{0};  // Until it is as fast as ever.
};

// A backend server's word that it leaves.
struct Deregistration {
  std::string instance;
  int64_t started_ms = 0;  // 0 if it does not say.
  uint64_t sequence = 0;   // Likewise.
};

enum class AnnounceOutcome { kChanged, kRenewed, kStale };

// An announcement from JSON; kInvalid names the key that is wrong.
Result<Announcement> ParseAnnouncement(std::string_view json);

class BackendRegistry {
 public:
  AnnounceOutcome Announce(const Announcement& announcement, TimePoint now);
  // It counts as draining from now on. False if nothing changed.
  bool Withdraw(const Deregistration& withdrawal);
  // The process has said that it leaves, maybe to an earlier incarnation of
  // this node: a late announcement of it does not count. True if that is news.
  bool NoteLeaving(const std::string& instance, int64_t started_ms);
  // The version has lost its share in a move and runs no more requests.
  void SetRetired(const std::string& service, const std::string& version,
                  bool retired);
  // Takes out those whose time is over. True if there was one.
  bool Expire(TimePoint now);

  // Unix time of its start, 0 if it is not known.
  int64_t StartTimeMs(const std::string& instance) const;
  std::vector<LocalBackend> Backends() const;
  std::vector<Endpoint> Endpoints() const;

 private:
  struct Entry {
    Announcement announcement;
    TimePoint first;
    TimePoint expires;
    bool withdrawn = false;
    bool retired = false;
  };
  bool IsLeaving(const Announcement& announcement) const;

  std::map<std::string, Entry> m_entries;    // By address.
  std::map<std::string, int64_t> m_leaving;  // Start by instance, 0: not known.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_BACKEND_REGISTRY_H_
