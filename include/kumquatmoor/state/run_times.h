#ifndef KUMQUATMOOR_STATE_RUN_TIMES_H_
#define KUMQUATMOOR_STATE_RUN_TIMES_H_

// RunTimes: moving averages of how long requests run, by route.
//
//   RunTimes times;
//   times.Add("pay", 210ms);
//   auto expected = times.Expected("pay");
//
// A route that has not been seen is expected to run as long as all others.
// Not thread-safe.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace kumquatmoor {

class RunTimes {
 public:
  // Weight of the latest run: the average follows the last 20 or so.
  static constexpr double kWeight = 0.05;
  // Assumed before the first run.
  static constexpr std::chrono::milliseconds kDefaultRunTime{50};
  // Routes beyond this number are taken together.
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

  // The first runs count equally, later ones by kWeight.
  static void UpdateAverage(std::chrono::milliseconds run_time,
                            Average* average) {
    ++average->runs;
    const double weight =
        std::max(kWeight, 1.0 / static_cast<double>(average->runs));
    average->ms +=
        weight * (static_cast<double>(run_time.count()) - average->ms);
  }

  Average m_all;
  std::map<std::string, Average> m_by_route;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_RUN_TIMES_H_
