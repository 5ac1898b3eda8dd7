#ifndef KUMQUATMOOR_STATE_CALL_FAILURES_H_
#define KUMQUATMOOR_STATE_CALL_FAILURES_H_

// CallFailures: sheds requests whose nested calls would probably fail, before
// they use a slot.
//
//   CallFailures failures;
//   failures.OnCallEnded(parent_route, was_refused, now);
//   ...
//   if (failures.ShouldShed(request.route, now)) return Refuse();
//
// It knows the calls that the backend servers of this host have made in the
// last seconds, by the route of the request that made them. Once more than
// `start_share` of them fail, that share of the new requests of the route is
// shed. The share follows a rise at once and falls slowly, so that it does not
// swing with the failures that it prevents. Some requests always go through, by
// which a recovery is noticed. A route that makes no calls is never shed.
//
// Time is an argument. Not thread-safe.

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

struct CallFailureOptions {
  // Calls count half after this time.
  std::chrono::milliseconds half_life{2'000};
  // The share of shed requests halves in this time once fewer calls fail.
  std::chrono::milliseconds shed_half_life{3'000};
  double min_calls = 8;      // Fewer calls say nothing.
  double start_share = 0.1;  // Failed calls at which shedding starts,
  double stop_share = 0.04;  // and at which it ends.
  double max_shed_share = 0.75;
};

class CallFailures {
 public:
  static constexpr size_t kMaxRoutes = 256;

  explicit CallFailures(CallFailureOptions options = {}) : m_options(options) {}

  // A nested call has ended that was made for a request of `route`. `failed`:
  // it was refused, or there was no response in time.
  void OnCallEnded(std::string_view route, bool failed, TimePoint now);
  // Whether a new request of `route` has to be refused. Spreads the refusals
  // evenly over the requests.
  bool ShouldShed(std::string_view route, TimePoint now);
  // The share of the requests of `route` that are shed, 0 to 1.
  double ShedShare(std::string_view route, TimePoint now) const;

 private:
  struct Entry {
    double calls = 0;
    double failed = 0;
    TimePoint calls_at;  // As of when the two count.
    bool is_shedding = false;
    double shed_share = 0;
    TimePoint shed_at;  // As of when `shed_share` counts.
    double owed = 0;    // Requests to shed, below 1.
  };

  double ShedShareOf(const Entry& entry, TimePoint now) const;
  void ForgetIdle(TimePoint now);

  CallFailureOptions m_options;
  std::map<std::string, Entry, std::less<>> m_routes;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_CALL_FAILURES_H_
