#include "kumquatmoor/protocol/backend_notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace kumquatmoor {

BackendNotice KeepValidLimit(BackendNotice notice,
                             const BackendNotice& previous) {
  if (!notice.has_invalid_limit) return notice;
  return {.limit = previous.limit, .leaving = notice.leaving};
}

std::optional<double> ParseRate(std::string_view text) {
  double rate = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, rate);
  const bool complete = parsed.ec == std::errc() && parsed.ptr == end;
  if (!complete || !std::isfinite(rate) || rate < 0) return std::nullopt;
  return rate;
}

std::chrono::milliseconds ParseRetryAfter(std::string_view text) {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const std::chrono::duration<double> parsed(ParseRate(text).value_or(0));
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::min<Milliseconds>(parsed, kMaxParsedRetryAfter));
}

}  // namespace kumquatmoor
