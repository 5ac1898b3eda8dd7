#ifndef KUMQUATMOOR_PROTOCOL_FAILURE_H_
#define KUMQUATMOOR_PROTOCOL_FAILURE_H_

// Failure: the one error type of the libraries, carried by Boost.LEAF.
//
//   Result<Batch> ReadBatch(...);
//   auto outcome = Attempt([&] { return ReadBatch(...); });
//   if (auto* failure = std::get_if<Failure>(&outcome)) Report(*failure);

#include <boost/leaf.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace kumquatmoor {

enum class FailureCode {
  kInvalid,      // The input is wrong; the same input fails again.
  kNotFound,     // There is no such key, service or version.
  kConflict,     // Somebody else changed it first.
  kUnavailable,  // The other end cannot be reached; nothing was changed.
  kUnknown,      // No answer came; the call may have taken effect.
};

struct Failure {
  FailureCode code = FailureCode::kInvalid;
  std::string message;
};

template <typename T>
using Result = boost::leaf::result<T>;

// An error to return from a function whose type is Result<T>.
inline boost::leaf::error_id Fail(FailureCode code, std::string message) {
  return boost::leaf::new_error(
      Failure{.code = code, .message = std::move(message)});
}

// Runs `function`, which returns Result<T>, and gives its value or Failure.
template <typename Function>
auto Attempt(Function&& function) {
  using T = std::decay_t<decltype(function().value())>;
  using Outcome = std::variant<T, Failure>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome> {
        BOOST_LEAF_AUTO(value, function());
        return Outcome(std::move(value));
      },
      [](const Failure& failure) { return Outcome(failure); },
      [] {
        return Outcome(Failure{.code = FailureCode::kUnknown,
                               .message = "an error without a description"});
      });
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_PROTOCOL_FAILURE_H_
