#ifndef KUMQUATMOOR_STATE_RESPONSE_SIZES_H_
#define KUMQUATMOOR_STATE_RESPONSE_SIZES_H_

// ResponseSizes: moving averages of the size of responses, by route.
//
//   ResponseSizes sizes;
//   sizes.Add("photos", 90'000);
//   const ResponseSize expected = sizes.Expected("photos");
//
// A route without a response is expected to have small ones: a first large
// response does no harm, while a refusal without evidence would.
// Not thread-safe.

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>

namespace kumquatmoor {

struct ResponseSize {
  size_t mean = 0;  // Bytes.
  // The mean plus the mean deviation. Of sizes with a long tail, about five in
  // six are smaller.
  size_t high = 0;

  // Responses of this size and more use the link for so long that other
  // requests notice it.
  static constexpr size_t kBulkBytes = 16'384;
  bool IsBulk() const { return mean >= kBulkBytes; }
};

class ResponseSizes {
 public:
  // Weight of the latest response; the averages follow about the last 20.
  static constexpr double kEwmaWeight = 0.05;
  // Number of routes with averages, which bounds memory. Responses of other
  // routes count as small.
  static constexpr size_t kMaxRoutes = 256;

  void Add(const std::string& route, size_t bytes) {
    if (m_by_route.count(route) == 0 && m_by_route.size() >= kMaxRoutes) return;
    Averages& averages = m_by_route[route];
    ++averages.responses;
    // The first 20 responses have equal weights, later ones have kEwmaWeight.
    const double weight =
        std::max(kEwmaWeight, 1.0 / static_cast<double>(averages.responses));
    const double difference = static_cast<double>(bytes) - averages.mean;
    averages.mean += weight * difference;
    if (averages.responses == 1) return;
    averages.deviation += weight * (std::abs(difference) - averages.deviation);
  }

  ResponseSize Expected(const std::string& route) const {
    const auto found = m_by_route.find(route);
    if (found == m_by_route.end()) return {};
    const Averages& averages = found->second;
    return {.mean = static_cast<size_t>(averages.mean),
            .high = static_cast<size_t>(averages.mean + averages.deviation)};
  }

 private:
  struct Averages {
    double mean = 0;
    double deviation = 0;
    size_t responses = 0;
  };

  std::map<std::string, Averages> m_by_route;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_STATE_RESPONSE_SIZES_H_
