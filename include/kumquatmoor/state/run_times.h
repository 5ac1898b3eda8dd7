#ifndef KUMQUATMOOR_STATE_RUN_TIMES_H_
#define KUMQUATMOOR_STATE_RUN_TIMES_H_

// RunTimes: moving averages of the run time of requests, by route.
//
//   RunTimes times;
//   times.Add("pay", 210ms);
//   auto expected = times.Expected("pay");
//
// A route without a run is expected to take the average over all routes.
// Not thread-safe.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace kumquatmoor {

class RunTimes {
 public:
  // Weight of the latest run; the average follows about the last 20 runs.
  static constexpr double kEwmaWeight = 0.05;
  // Expected run time before the first run.
  static constexpr std::chrono::milliseconds kDefaultRunTime{50};
  // Number of routes with an average of their own, which bounds memory. Other
  // routes use the average over all.
  static constexpr size_t kMaxRoutes = 256;

  void Add(const std::string& route, std::chrono::milliseconds run_time) {
    UpdateAverage(run_time, &m_all);
    if (m_by_route.count(route) == 0 && m_by_route.size() >= kMaxRoutes) return;
    UpdateAverage(run_time, &m_by_route[route]);
  }

  std::chrono::milliseconds Expected(const std::string& route) const {
    const auto found = m_by_route.find(route);
    const Average& average = found == m_by_route.end() ? m_all : found->second;
    if (average.runs == 0) return kDefaultRunTime;
    return std::chrono::milliseconds(static_cast<int64_t>(average.ms));
  }

 private:
  struct Average {
    double ms = 0;
    size_t runs = 0;
  };

  // The first 20 runs have equal weights, later ones have kEwmaWeight.
  static void UpdateAverage(std::chrono::milliseconds run_time,
                            Average* average) {
    ++average->runs;
    const double weight =
        std::max(kEwmaWeight, 1.0 / static_cast<double>(average->runs));
    average->ms +=
        weight * (static_cast<double>(run_time.count()) - average->ms);
  }

  Average m_all;
  std::map<std::string, Average> m_by_route;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_RUN_TIMES_H_
