#ifndef KUMQUATMOOR_PROTOCOL_BACKEND_NOTICE_H_
#define KUMQUATMOOR_PROTOCOL_BACKEND_NOTICE_H_

// BackendNotice: what a backend server says of itself in its responses.
//
//   BackendNotice notice{.limit = ParseRate("5.9")};
//
// A limit holds until the next response, which may have another one or none. A
// response with a limit that cannot be parsed changes nothing. A process that
// leaves does not come back.
// All functions are pure and safe to call from any thread.

#include <chrono>
#include <optional>
#include <string_view>

namespace kumquatmoor {

struct BackendNotice {
  // Requests per second that it accepts from all hosts together.
  std::optional<double> limit;
  bool leaving = false;  // It must get no new requests.
  // The response has a limit that cannot be parsed.
  bool has_invalid_limit = false;

  bool operator==(const BackendNotice&) const = default;
};

// `notice`, with the limit of `previous` in place of an invalid one.
BackendNotice KeepValidLimit(BackendNotice notice,
                             const BackendNotice& previous);

// Parses a rate per second, a decimal number. Returns nullopt if the text is
// not a number, or is negative, infinite or NaN.
std::optional<double> ParseRate(std::string_view text);

// The longest time that ParseRetryAfter returns.
inline constexpr std::chrono::milliseconds kMaxParsedRetryAfter{3'600'000};

// Parses the decimal seconds of a Retry-After header. Returns 0 if the text is
// not a number, or is negative, infinite or NaN.
std::chrono::milliseconds ParseRetryAfter(std::string_view text);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_PROTOCOL_BACKEND_NOTICE_H_
