#ifndef KUMQUATMOOR_NODE_BACKEND_REGISTRY_H_
#define KUMQUATMOOR_NODE_BACKEND_REGISTRY_H_

// BackendRegistry: the backend servers that announced themselves to this node.
//
//   BackendRegistry registry;
//   auto announcement = ParseAnnouncement(json);
//   if (registry.Announce(announcement, now)) PublishEndpoints();
//   if (registry.Expire(now)) PublishEndpoints();
//
// A backend server announces itself again before its time to live ends, or is
// taken out. Not thread-safe; owned by the control thread.

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control.pb.h"
#include "kumquatmoor/node/admission.h"
#include "kumquatmoor/protocol/failure.h"

namespace kumquatmoor {

struct Announcement {
  std::string service;
  std::string version;
  std::string address;       // HTTP.
  uint32_t slots = 1;        // Requests it runs at once.
  uint32_t connections = 1;  // Connections it accepts.
  bool draining = false;
  std::chrono::milliseconds ttl{3'000};
};

// An announcement from JSON; kInvalid names the key that is wrong.
Result<Announcement> ParseAnnouncement(std::string_view json);

class BackendRegistry {
 public:
  // True if anything but the time to live changed.
  bool Announce(const Announcement& announcement, TimePoint now);
  // Takes out those whose time is over. True if there was one.
  bool Expire(TimePoint now);

  std::vector<LocalBackend> Backends() const;
  std::vector<Endpoint> Endpoints() const;

 private:
  struct Entry {
    Announcement announcement;
    TimePoint first;
    TimePoint expires;
  };
  std::map<std::pair<std::string, std::string>, Entry> m_entries;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_BACKEND_REGISTRY_H_
