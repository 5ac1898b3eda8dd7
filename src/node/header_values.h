#ifndef KUMQUATMOOR_SRC_NODE_HEADER_VALUES_H_
#define KUMQUATMOOR_SRC_NODE_HEADER_VALUES_H_

// Values of header fields, and the times that are reported in them.

#include <boost/beast/core/string.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "kumquatmoor/node/admission.h"

namespace kumquatmoor {

inline double ElapsedMs(TimePoint since) {
  return std::chrono::duration<double, std::milli>(Clock::now() - since)
      .count();
}

inline std::string_view Text(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// The number that the text begins with, if it does.
inline std::optional<uint32_t> ParseCount(std::string_view text) {
  uint32_t count = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc() || end == text.data()) return std::nullopt;
  return count;
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_HEADER_VALUES_H_
