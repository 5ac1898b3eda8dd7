#ifndef KUMQUATMOOR_NODE_ADMISSION_H_
#define KUMQUATMOOR_NODE_ADMISSION_H_

// Admission: decides, beside a backend server, which requests it is given.
//
//   Admission admission;
//   admission.SetBackends(backends);
//   AdmissionAnswer answer = admission.Enter(request, now);
//   if (!answer.admitted) return Refuse(answer.reason);
//   ...
//   admission.Leave("bookings", "v2");
//
// Only this node knows exactly how many requests its backend server has, so
// slots, drain, the row's limits and repeated request ids are enforced here.
// A request that is refused has not run. Not thread-safe; used by the proxy
// thread.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/routes.h"

namespace kumquatmoor {

// A backend server that announced itself to this node.
struct LocalBackend {
  std::string service;
  std::string version;
  std::string address;       // HTTP.
  uint32_t slots = 1;        // Requests it runs at once.
  uint32_t connections = 1;  // Connections it accepts.
  bool draining = false;
  TimePoint announced;  // First time, for its cold start.
};

struct AdmissionRequest {
  std::string service;
  std::string version;
  std::string request_id;
  bool idempotent = true;
};

struct AdmissionAnswer {
  bool admitted = false;
  std::string_view reason;  // Why not.
  bool duplicate = false;   // The request id was seen; it may have run.
  bool leaving = false;     // Refused for longer than a moment.
  std::string address;      // Of the backend server.
  uint32_t in_flight = 0;   // This request among them.
  uint32_t slots = 0;
  bool warm = true;  // The backend server's cold start is over.
};

class Admission {
 public:
  // Latencies in this time after the announcement are not judged.
  static constexpr std::chrono::seconds kColdStart{3};
  // Request ids remembered, to refuse a second run.
  static constexpr size_t kRememberedIds = 65'536;

  // Replaces the backend servers; requests in flight stay counted.
  void SetBackends(const std::vector<LocalBackend>& backends);
  // Takes over the limits of the rows and what was recalled.
  void SetRoutes(const RouteTable& routes);
  void StartDrain() { m_draining = true; }

  AdmissionAnswer Enter(const AdmissionRequest& request, TimePoint now);
  // Ends a request that was admitted. `handed_over` is false if it is proved
  // that the request did not run; its id may then come again.
  void Leave(const AdmissionRequest& request, bool handed_over);

  uint32_t InFlight(const std::string& service,
                    const std::string& version) const;
  uint32_t TotalInFlight() const;

 private:
  using Key = std::pair<std::string, std::string>;  // Service, version.
  struct Entry {
    LocalBackend backend;
    bool announced = false;
    bool recalled = false;
    uint32_t in_flight = 0;
    uint32_t max_concurrent = 0;  // This target's part of the row's limit.
    double max_rate = 0;          // Likewise, per second.
    TokenBucket rate{{}};
  };

  std::string_view ReasonToRefuse(const AdmissionRequest& request, Entry* entry,
                                  TimePoint now);
  void Remember(const std::string& request_id);

  std::map<Key, Entry> m_entries;
  bool m_draining = false;
  std::unordered_set<std::string> m_seen;
  std::deque<std::string> m_seen_order;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_ADMISSION_H_
