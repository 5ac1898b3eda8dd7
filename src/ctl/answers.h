#ifndef KUMQUATMOOR_CTL_ANSWERS_H_
#define KUMQUATMOOR_CTL_ANSWERS_H_

// What the commands of kumquatmoorctl share: asking nodes, and printing.

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

// Words after those that name the command.
using Arguments = std::vector<std::string>;

int64_t UnixMs();

// Prints `failure` and gives the exit code for it.
int ReportFailure(const CtlContext& context, const Failure& failure);

// Prints `message` as JSON.
void PrintMessage(const CtlContext& context,
                  const google::protobuf::Message& message);

// The first answer that a node gives.
template <typename T>
Result<T> CallAnyNode(const CtlContext& context,
                      const std::function<Result<T>(const ControlPeer&)>& ask) {
  Failure last{.code = FailureCode::kUnavailable,
               .message = "no node is known; give --nodes"};
  for (const auto& node : context.nodes) {
    auto answer = Attempt([&] { return ask({.address = node, .zone = ""}); });
    if (auto* value = std::get_if<T>(&answer)) return std::move(*value);
    last = std::get<Failure>(answer);
  }
  return Fail(last.code, last.message);
}

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_CTL_ANSWERS_H_
