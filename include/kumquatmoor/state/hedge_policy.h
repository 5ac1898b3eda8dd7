#ifndef KUMQUATMOOR_STATE_HEDGE_POLICY_H_
#define KUMQUATMOOR_STATE_HEDGE_POLICY_H_

// HedgePolicy: decides when a request that has got no response yet is sent to a
// second target as well (a hedged request).
//
//   HedgePolicy policy({.percent = 5});
//   policy.OnFirstAttempt(now);                 // Each request.
//   policy.OnResponse(route, latency, now);     // Each response.
//   if (auto delay = policy.DelayOf(route, now)) ...  // Wait that long.
//   const HedgeVerdict verdict = policy.Decide({...}, now);
//   if (verdict == HedgeVerdict::kSend) ...
//   policy.Return();                            // It was not sent after all.
//
// The delay is the 95th percentile of the route's latencies in the last minute,
// so that about one request in twenty waits for longer. A token bucket bounds
// the extra load: each first attempt earns a part of a token. Where all targets
// are slow, hedged requests would only add load; the budget and the load of the
// second target prevent that.
//
// Time is an argument. Not thread-safe; the proxy thread owns one.

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "kumquatmoor/state/limits.h"

namespace kumquatmoor {

struct HedgePolicyOptions {
  // Hedged requests for 100 first attempts; 0: none.
  double percent = 0;
};

// What Decide() considers.
struct HedgeRequest {
  bool idempotent = false;
  bool is_streamed = false;   // Its body or the response is not buffered.
  bool is_suspected = false;  // It may crash backend servers.
  int64_t offers = 0;         // Targets that may have received it.
  int64_t max_attempts = 1;   // Targets that may receive it.
  double target_load = 0;     // Of the second target, requests per slot.
  std::string_view route;
  TimePoint deadline = TimePoint::max();
};

enum class HedgeVerdict {
  kSend,
  kNotRepeatable,  // Its kind, body or history forbids it.
  kAttempts,       // The attempts of the route are used up.
  kNoTime,         // It would probably not end before the deadline.
  kTargetLoad,     // The second target is busy.
  kBudget,         // Too many hedged requests.
};
inline constexpr size_t kHedgeVerdicts = 6;

std::string_view HedgeVerdictName(HedgeVerdict verdict);

class HedgePolicy {
 public:
  // Latencies of a route within this time count.
  static constexpr std::chrono::seconds kWindow{60};
  static constexpr uint32_t kMinSamples = 50;
  static constexpr double kQuantile = 0.95;
  // Load up to which a second target gets hedged requests.
  static constexpr double kMaxTargetLoad = 0.8;
  // Routes whose latencies are kept. Bounds memory to 100 KB.
  static constexpr size_t kMaxRoutes = 64;
  // Tokens that can be saved: a burst after a quiet time.
  static constexpr double kMaxSaved = 10;

  explicit HedgePolicy(HedgePolicyOptions options) : m_options(options) {}

  bool IsEnabled() const { return m_options.percent > 0; }
  // A request of a caller is sent to its first target.
  void OnFirstAttempt();
  // A target served a request. `latency` counts from the attempt's start.
  void OnResponse(const std::string& route, std::chrono::milliseconds latency,
                  TimePoint now);
  // Time after which a request of this route may be hedged; empty if it is not.
  std::optional<std::chrono::milliseconds> DelayOf(std::string_view route,
                                                   TimePoint now) const;
  // Takes a token if the request is to be sent.
  HedgeVerdict Decide(const HedgeRequest& request, TimePoint now);
  // Returns the token of a request that was not sent.
  void Return();

 private:
  // Buckets of latencies: each is 1.25 times as long as the one before.
  static constexpr size_t kBuckets = 48;
  static constexpr std::chrono::seconds kSliceTime{10};
  // Latencies that were observed in one slice of the window.
  struct Slice {
    int64_t number = 0;  // Start of the slice, in slices since the epoch.
    uint32_t count = 0;
    std::array<uint16_t, kBuckets> buckets{};
  };
  using Latencies = std::deque<Slice>;  // Oldest first.

  static size_t BucketOf(std::chrono::milliseconds latency);
  static double UpperMs(size_t bucket);
  static int64_t SliceOf(TimePoint now);

  HedgePolicyOptions m_options;
  double m_saved = 0;  // Tokens.
  std::map<std::string, Latencies, std::less<>> m_routes;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_HEDGE_POLICY_H_
