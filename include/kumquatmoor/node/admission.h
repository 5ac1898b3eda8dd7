#ifndef KUMQUATMOOR_NODE_ADMISSION_H_
#define KUMQUATMOOR_NODE_ADMISSION_H_

// Admission: admission control for the backend servers of one host. It decides
// which requests a backend server receives, which ones wait for a slot and
// which ones are refused.
//
//   Admission admission({.waiting_per_slot = 16});
//   admission.SetBackends(backends);
//   AdmissionResult result = admission.Admit(request, now);
//   if (result.queued) {
//     ...  // TakeDecisions returns the decision for result.ticket later.
//   } else if (!result.admitted) {
//     return Refuse(result.reason);
//   }
//   ...
//   admission.Release(request, true, result.run_time, run_time);
//   for (const WaitDecision& decision : admission.TakeDecisions(now)) ...
//
// Only the node on the host of a backend server knows exactly how many requests
// the backend server has in flight. Slots, drains, the limits of the version's
// table row and repeated request ids are therefore enforced here. A refused
// request has not run, except that a duplicate may have run under the same id
// before. Not thread-safe; used by the proxy thread.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kumquatmoor/protocol/attempt_kind.h"
#include "kumquatmoor/protocol/backend_notice.h"
#include "kumquatmoor/protocol/server_load.h"
#include "kumquatmoor/state/call_failures.h"
#include "kumquatmoor/state/cold_backend.h"
#include "kumquatmoor/state/host_speed.h"
#include "kumquatmoor/state/limits.h"
#include "kumquatmoor/state/link_backlog.h"
#include "kumquatmoor/state/recent_ids.h"
#include "kumquatmoor/state/response_sizes.h"
#include "kumquatmoor/state/retry_guard.h"
#include "kumquatmoor/state/routes.h"
#include "kumquatmoor/state/run_times.h"
#include "kumquatmoor/state/slot_queue.h"

namespace kumquatmoor {

// A backend server that is announced to this node.
struct LocalBackend {
  std::string service;
  std::string version;
  std::string instance;      // Id of the process, "" if it has none.
  std::string address;       // "IP:PORT" for HTTP.
  uint32_t slots = 1;        // Requests that it runs at the same time.
  uint32_t connections = 1;  // Connections that it accepts.
  bool draining = false;
  // Start of its cold start: its first announcement plus the warm-up time that
  // it reported.
  TimePoint announced;
  ColdStatus cold;
};

struct AdmissionOptions {
  // Requests that may wait, per slot. With 0 there is no queue: a request that
  // finds no free slot is refused.
  size_t waiting_per_slot = 0;
  RetryGuardOptions retries;  // Of each backend server.
  // What responses may use of the host's link, in bytes per second; 0 if
  // unknown.
  double link_rate = 0;
};

struct AdmissionRequest {
  std::string service;
  std::string version;
  std::string request_id;
  std::string route;
  bool idempotent = true;
  AttemptKind kind = AttemptKind::kFirst;
  uint32_t priority = 0;
  TimePoint objective = TimePoint::max();
  TimePoint deadline = TimePoint::max();
  bool via_link = false;               // The response leaves this host.
  std::string organisation;            // Of the caller, "" if none.
  uint32_t organisation_priority = 0;  // Goes before `priority`.
  // A backend server makes the request while it runs another one.
  bool is_nested_call = false;
  // It may be refused because another target is probably faster.
  bool may_hand_back = false;
};

// The decision on one request, and the state of its backend server.
struct AdmissionResult {
  bool admitted = false;
  std::string_view reason;  // Why the request is refused.
  // A non-idempotent request with this id was admitted or queued before, and
  // may have run.
  bool duplicate = false;
  // The backend server takes no requests for some time: it is draining or gone,
  // or its version was recalled or lost its share.
  bool leaving = false;
  // The limit that the backend server names, or that it has while it is cold,
  // is reached for the time `wait`.
  bool limited = false;
  bool is_cold = false;    // Limited because the backend server is cold.
  bool evacuated = false;  // The zone is evacuated; `leaving` is set, too.
  // The retry budget is used up, for requests of this kind.
  bool retry_denied = false;
  // The response would not get through the host's link in time.
  bool link_full = false;
  // The calls of the request would probably fail, wherever it runs.
  bool shed = false;
  // Set if another target is probably faster: the expected time until the
  // response from this one.
  std::optional<std::chrono::milliseconds> handed_back;
  // The request crashes backend servers or, if `wait` is not 0, another one
  // that may do so runs. Decided by LocalRunner.
  bool blocked = false;
  bool queued = false;  // The request waits for a slot, under `ticket`.
  uint64_t ticket = 0;
  std::chrono::milliseconds wait{0};  // Estimated time until a slot is free.
  std::chrono::milliseconds run_time{0};  // Expected.
  // The same at the usual speed of the host, and the present run time in per
  // cent of that.
  std::chrono::milliseconds usual_run_time{0};
  uint32_t run_time_percent = HostSpeed::kUsualPercent;
  std::string instance;  // Of the backend server.
  BackendNotice notice;  // Of the backend server.
  std::string address;   // Of the backend server.
  // Requests that run or wait; includes this one if it is admitted or queued.
  uint32_t in_flight = 0;
  uint32_t slots = 0;
  bool warm = true;  // The cold start of the backend server is over.
};

// The final decision on a request that was queued.
struct WaitDecision {
  uint64_t ticket = 0;
  AdmissionResult result;  // Either admitted or refused.
};

class Admission {
 public:
  // Time after `LocalBackend::announced` for which a backend server counts as
  // cold. Latencies of a cold backend server are not analyzed.
  static constexpr std::chrono::seconds kColdStart{3};
  // Ids of non-idempotent requests that are kept to refuse a second run. The
  // oldest id is dropped first.
  static constexpr size_t kMaxSeenIds = 65'536;

  explicit Admission(AdmissionOptions options = {})
      : m_options(options),
        m_link(std::make_shared<LinkBacklog>(options.link_rate)) {}

  // Replaces the backend servers. Requests in flight stay counted, also for a
  // backend server that is no longer in the list. Of several backend servers
  // with the same service and version, only the last one is used.
  void SetBackends(const std::vector<LocalBackend>& backends,
                   TimePoint now = Clock::now());
  // Updates the limits of the table rows, the recalled versions and whether the
  // zone is evacuated.
  void SetRoutes(const RouteTable& routes, TimePoint now = Clock::now());
  // Refuses all new requests from now on.
  void StartDrain() { m_draining = true; }
  // Refuses new requests for a version that has lost its whole share.
  void CloseVersion(const std::string& service, const std::string& version);
  // Reverses CloseVersion.
  void OpenVersion(const std::string& service, const std::string& version);

  // Records what the process `instance` of a backend server says in a response.
  // Returns true if this differs from its response before.
  bool OnNotice(const std::string& service, const std::string& version,
                const std::string& instance, const BackendNotice& notice,
                TimePoint now);
  // The same, as another node remembers it of an earlier response. A limit has
  // no effect once there was a response to this node, which may have restarted.
  // Other nodes may remember nothing, which withdraws no limit.
  void OnRememberedNotice(const std::string& service,
                          const std::string& version,
                          const std::string& instance,
                          const BackendNotice& notice, TimePoint now);

  // The backend server cannot be reached or has crashed, so that it counts as
  // cold until it reports again. Returns true if it did not before.
  bool NoteColdUnknown(const std::string& service, const std::string& version,
                       TimePoint now);
  // The same for its load. Expected run times follow the speed of the host.
  void OnServerLoad(const std::string& service, const std::string& version,
                    const std::string& instance, const ServerLoad& load,
                    TimePoint now);
  // A nested call has ended that a local backend server made while it ran a
  // request of `parent_route`. `failed`: it was refused, or there was no
  // response in time.
  void OnNestedCallEnded(const std::string& parent_route, bool failed,
                         TimePoint now) {
    m_call_failures.OnCallEnded(parent_route, failed, now);
  }

  // True if the backend server takes no new requests, or is not known, so that
  // its end is no surprise.
  bool IsLeaving(const std::string& service, const std::string& version) const;
  // Returns nullptr if there is no such backend server.
  const LocalBackend* FindBackend(const std::string& service,
                                  const std::string& version) const;

  // Admits, queues or refuses a request. Each admitted request must be
  // released.
  AdmissionResult Admit(const AdmissionRequest& request, TimePoint now);
  // Frees the slot of an admitted request. `handed_over` is false if it is
  // certain that the request did not run; a request with the same id is then
  // admitted again. `expected` is `AdmissionResult::usual_run_time`. `run_time`
  // is the measured run time at the usual speed, or nullopt if it must not
  // count as a sample for the route, for example because the request failed.
  void Release(const AdmissionRequest& request, bool handed_over,
               std::chrono::milliseconds expected = {},
               std::optional<std::chrono::milliseconds> run_time = {});
  // Removes the queued requests that get a slot or have to be refused, and
  // returns the decisions.
  std::vector<WaitDecision> TakeDecisions(TimePoint now);
  // Removes a queued request, for example because its caller disconnected.
  // False if the request is not queued.
  bool CancelQueued(const AdmissionRequest& request, uint64_t ticket);

  // Records the size of a successful response.
  void OnResponse(const std::string& route, size_t bytes) {
    m_response_sizes.Add(route, bytes);
  }
  // Reserves the host's link for the response to an admitted or queued request.
  LinkReservation ReserveLink(const AdmissionRequest& request) const;
  // Reserves it for another response of this host.
  LinkReservation ReserveLink(size_t bytes) const { return {m_link, bytes}; }
  // The time that the link needs for a response of this size if it is idle.
  std::chrono::milliseconds LinkTransferTime(size_t bytes) const {
    return m_link->TransferTime(bytes);
  }
  // The time that the link needs for the responses of all requests that were
  // admitted.
  std::chrono::milliseconds LinkWait() const { return m_link->TotalWait(); }

  // Number of requests that run or wait at one backend server, or at all of
  // them together.
  uint32_t InFlight(const std::string& service,
                    const std::string& version) const;
  uint32_t TotalInFlight() const;

 private:
  using Key = std::pair<std::string, std::string>;  // Service, version.
  // A backend server. An entry stays until its last request has ended.
  struct Entry {
    LocalBackend backend;
    bool announced = false;  // False once the backend server is gone.
    bool recalled = false;
    bool closed = false;
    BackendNotice notice;    // Of its last response.
    bool responded = false;  // The notice is that of a response to this node.
    // Set while the notice has a limit. Starts empty, as requests from before
    // are unknown.
    std::optional<TokenBucket> limit;
    ColdLimit cold;
    // Why the requests in the queue are refused, as they have no token of
    // `limit` or `cold`; "" if they are not.
    std::string_view waiting_refusal;
    SlotQueue queue{{}};
    HostSpeed speed;
    RunTimes run_times;                            // At the usual speed.
    std::map<uint64_t, AdmissionRequest> waiting;  // By ticket.
    // This target's part of the limits of the table row; 0 means no limit.
    uint32_t max_concurrent = 0;
    double max_rate = 0;  // Requests per second.
    TokenBucket rate{{}};
    std::optional<RetryGuard> retries;  // Set once the entry is announced.
  };

  // A result with the state of the backend server and no decision.
  AdmissionResult Describe(const Entry& entry, const std::string& route,
                           TimePoint now) const;
  // Whether a request may run now if there is no queue.
  bool HasFreeSlot(const AdmissionRequest& request, const Entry& entry) const;
  static void SetNotice(const BackendNotice& notice, Entry* entry,
                        TimePoint now);
  // Takes the tokens of the backend server's limits. Returns false, and sets
  // why in `result`, if one has none.
  static bool TakeTokens(Entry* entry, TimePoint now, AdmissionResult* result);
  static void ReturnTokens(Entry* entry);
  // The time until a cold backend server gets another request.
  static std::chrono::milliseconds ColdWait(Entry& entry, TimePoint now);
  // Sets in `result` why the request is refused.
  static void SetRefusal(std::string_view reason, AdmissionResult* result);
  static void UpdateSpeed(Entry* entry, TimePoint now);
  // Whether the request is refused because its calls would fail, or because
  // another target is probably faster. Sets the reason in `result`.
  bool IsShed(const AdmissionRequest& request, const Entry& entry,
              TimePoint now, AdmissionResult* result);
  bool IsHandedBack(const AdmissionRequest& request, const Entry& entry,
                    TimePoint now, AdmissionResult* result) const;
  // Why the backend server takes no requests at all, queued ones included; ""
  // if it does.
  std::string_view UnavailableReason(const Entry& entry) const;
  // Why the request is refused whether or not a slot is free; "" if it is not.
  std::string_view RefusalReason(const AdmissionRequest& request, Entry* entry,
                                 TimePoint now);

  // The request as its slot queue sees it. The response must be ready early
  // enough to be sent over the link.
  QueuedRequest ForQueue(const AdmissionRequest& request, uint64_t ticket,
                         std::chrono::milliseconds run_time) const;
  // Whether the response would get through the host's link in time.
  LinkEstimate EstimateLink(const AdmissionRequest& request,
                            std::chrono::milliseconds run_time,
                            TimePoint now) const;

  AdmissionOptions m_options;
  // Shared with reservations, whose coroutine frames may outlive this object.
  std::shared_ptr<LinkBacklog> m_link;
  ResponseSizes m_response_sizes;
  CallFailures m_call_failures;
  std::map<Key, Entry> m_entries;
  std::set<Key> m_closed;  // Versions that lost their whole share.
  uint64_t m_last_ticket = 0;
  bool m_draining = false;
  bool m_evacuated = false;  // The zone of this node is evacuated.
  // Ids of non-idempotent requests that were admitted or queued.
  RecentIds m_seen_ids{kMaxSeenIds};
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_ADMISSION_H_
