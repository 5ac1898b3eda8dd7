#ifndef KUMQUATMOOR_PROTOCOL_FAILURE_H_
#define KUMQUATMOOR_PROTOCOL_FAILURE_H_

// Failure is the error type of all libraries of the project. Functions that can
// fail return Result<T>, a Boost.LEAF result. The caller of a library uses
// Attempt to turn it into a variant that holds either the value or the Failure.
//
//   Result<Batch> ReadBatch(...) {
//     if (...) return Fail(FailureCode::kInvalid, "weights do not add up");
//     ...
//   }
//
//   auto outcome = Attempt([&] { return ReadBatch(...); });
//   if (auto* failure = std::get_if<Failure>(&outcome)) Report(*failure);
//
// All functions are safe to call from any thread.

#include <boost/leaf.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace kumquatmoor {

enum class FailureCode {
  kInvalid,      // The input is invalid; a retry with it fails again.
  kNotFound,     // The key, service or version does not exist.
  kConflict,     // A concurrent writer changed the value first.
  kUnavailable,  // The peer is unreachable; nothing was changed.
  kUnknown,      // No complete response; the request may have had an effect.
  kTooLarge,     // The response is too large; otherwise as kUnknown.
};

struct Failure {
  FailureCode code = FailureCode::kInvalid;
  std::string message;
};

template <typename T>
using Result = boost::leaf::result<T>;

// Creates an error that converts to any Result<T>.
inline boost::leaf::error_id Fail(FailureCode code, std::string message) {
  return boost::leaf::new_error(
      Failure{.code = code, .message = std::move(message)});
}

// Calls `function`, which returns Result<T>, and returns a
// std::variant<T, Failure>. An error that carries no Failure becomes one with
// the code kUnknown.
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
