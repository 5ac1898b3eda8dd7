#ifndef KUMQUATMOOR_CTL_ANSWERS_H_
#define KUMQUATMOOR_CTL_ANSWERS_H_

// Helpers that the commands of kumquatmoorctl share: calling nodes, printing
// replies and reporting failures.

#include <google/protobuf/message.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "ctl/commands.h"
#include "kumquatmoor/protocol/failure.h"

namespace kumquatmoor {

// The arguments of a command, without the words of its name.
using Arguments = std::vector<std::string>;

// The current Unix time in milliseconds.
int64_t UnixMs();

// Prints `failure` to `context.err` and returns its exit code.
int ReportFailure(const CtlContext& context, const Failure& failure);

// Prints `message` to `context.out` as JSON, with default values and the field
// names of the .proto file.
void PrintMessage(const CtlContext& context,
                  const google::protobuf::Message& message);

// Calls `call` for each node of the context in turn and returns the first
// success, or else the failure of the last node.
template <typename T>
Result<T> CallAnyNode(
    const CtlContext& context,
    const std::function<Result<T>(const ControlPeer&)>& call) {
  Failure last_failure{.code = FailureCode::kUnavailable,
                       .message = "no node is known; give --nodes"};
  for (const auto& node : context.nodes) {
    auto answer = Attempt([&] { return call({.address = node, .zone = ""}); });
    if (auto* value = std::get_if<T>(&answer)) return std::move(*value);
    last_failure = std::get<Failure>(answer);
  }
  return Fail(last_failure.code, last_failure.message);
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_CTL_ANSWERS_H_
