#ifndef KUMQUATMOOR_NODE_ADMISSION_H_
#define KUMQUATMOOR_NODE_ADMISSION_H_

// Admission: decides, beside a backend server, which requests it is given.
//
//   Admission admission;
//   admission.SetBackends(backends);
//   AdmissionAnswer answer = admission.Enter(request, now);
//   if (answer.waits) ...                  // Until TakeDecisions names it.
//   if (!answer.admitted) return Refuse(answer.reason);
//   ...
//   admission.Leave(request, true, run_time);
//   for (const WaitDecision& decision : admission.TakeDecisions(now)) ...
//
// Only this node knows exactly how many requests its backend server has, so
// slots, drain, the row's limits and repeated request ids are enforced here.
// A request that is refused has not run. Not thread-safe; used by the proxy
// thread.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/routes.h"
#include "kumquatmoor/state/run_times.h"
#include "kumquatmoor/state/slot_queue.h"

namespace kumquatmoor {

// A backend server that announced itself to this node.
struct LocalBackend {
  std::string service;
  std::string version;
  std::string instance;      // Its own id, "" if it has none.
  std::string address;       // HTTP.
  uint32_t slots = 1;        // Requests it runs at once.
  uint32_t connections = 1;  // Connections it accepts.
  bool draining = false;
  TimePoint announced;  // First time, for its cold start.
};

struct AdmissionOptions {
  // Requests that may wait for each slot; 0: a request that finds every slot
  // taken is refused.
  size_t waiting_per_slot = 0;
};

struct AdmissionRequest {
  std::string service;
  std::string version;
  std::string request_id;
  std::string route;
  bool idempotent = true;
  uint32_t priority = 0;
  TimePoint objective = TimePoint::max();
  TimePoint deadline = TimePoint::max();
};

struct AdmissionAnswer {
  bool admitted = false;
  std::string_view reason;  // Why not.
  bool duplicate = false;   // The request id was seen; it may have run.
  bool leaving = false;     // Refused for longer than a moment.
  bool waits = false;       // For a slot, under `ticket`.
  uint64_t ticket = 0;
  std::chrono::milliseconds wait{0};  // Estimated time until there is a slot.
  std::chrono::milliseconds run_time{0};  // Expected.
  std::string instance;                   // Of the backend server.
  std::string address;                    // Likewise.
  uint32_t in_flight = 0;                 // This request among them.
  uint32_t slots = 0;
  bool warm = true;  // The backend server's cold start is over.
};

// What became of a request that waited.
struct WaitDecision {
  uint64_t ticket = 0;
  AdmissionAnswer answer;  // Admitted or refused.
};

class Admission {
 public:
  // Latencies in this time after the announcement are not judged.
  static constexpr std::chrono::seconds kColdStart{3};
  // Request ids remembered, to refuse a second run.
  static constexpr size_t kMaxSeenIds = 65'536;

  explicit Admission(AdmissionOptions options = {}) : m_options(options) {}

  // Replaces the backend servers; requests in flight stay counted.
  void SetBackends(const std::vector<LocalBackend>& backends);
  // Takes over the limits of the rows and what was recalled.
  void SetRoutes(const RouteTable& routes);
  void StartDrain() { m_draining = true; }
  // Refuses new requests for a version that has lost its whole share.
  void CloseVersion(const std::string& service, const std::string& version);
  void OpenVersion(const std::string& service, const std::string& version);

  AdmissionAnswer Enter(const AdmissionRequest& request, TimePoint now);
  // Ends a request that was admitted. `handed_over` is false if it is proved
  // that the request did not run; its id may then come again.
  // `expected` is the answer's run time; `run_time` is nothing if it says
  // little of other requests.
  void Leave(const AdmissionRequest& request, bool handed_over,
             std::chrono::milliseconds expected = {},
             std::optional<std::chrono::milliseconds> run_time = {});
  // Requests that stop waiting: they got a slot or cannot end in time.
  std::vector<WaitDecision> TakeDecisions(TimePoint now);
  // The caller of a waiting request went away. False if it does not wait.
  bool Withdraw(const AdmissionRequest& request, uint64_t ticket);

  uint32_t InFlight(const std::string& service,
                    const std::string& version) const;
  uint32_t TotalInFlight() const;

 private:
  using Key = std::pair<std::string, std::string>;  // Service, version.
  struct Entry {
    LocalBackend backend;
    bool announced = false;
    bool recalled = false;
    bool closed = false;
    SlotQueue queue{{}};
    RunTimes run_times;
    std::map<uint64_t, AdmissionRequest> waiting;  // By ticket.
    uint32_t max_concurrent = 0;  // This target's part of the row's limit.
    double max_rate = 0;          // Likewise, per second.
    TokenBucket rate{{}};
  };

  AdmissionAnswer Describe(const Entry& entry, const std::string& route,
                           TimePoint now) const;
  bool HasFreeSlot(const AdmissionRequest& request, const Entry& entry) const;
  std::string_view UnavailableReason(const Entry& entry) const;
  std::string_view RefusalReason(const AdmissionRequest& request, Entry* entry,
                                 TimePoint now);
  void RecordSeenId(const std::string& request_id);

  AdmissionOptions m_options;
  std::map<Key, Entry> m_entries;
  std::set<Key> m_closed;
  uint64_t m_last_ticket = 0;
  bool m_draining = false;
  std::unordered_set<std::string> m_seen_ids;
  std::deque<std::string> m_seen_ids_by_age;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_ADMISSION_H_
