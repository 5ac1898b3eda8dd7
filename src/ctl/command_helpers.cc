#include "ctl/command_helpers.h"

#include <google/protobuf/util/json_util.h>

#include <chrono>

namespace kumquatmoor {
namespace {

int ExitCodeOf(const Failure& failure) {
  switch (failure.code) {
    case FailureCode::kInvalid:
    case FailureCode::kNotFound:
    case FailureCode::kConflict:
      return kExitRefused;
    case FailureCode::kUnavailable:
    case FailureCode::kUnknown:
    case FailureCode::kTooLarge:
      return kExitUnreachable;
  }
  return kExitUnreachable;
}

}  // namespace

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int ReportFailure(const CtlContext& context, const Failure& failure) {
  *context.err << "kumquatmoorctl: " << failure.message << "\n";
  return ExitCodeOf(failure);
}

void PrintMessage(const CtlContext& context,
                  const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string text;
  google::protobuf::util::MessageToJsonString(message, &text, options);
  *context.out << text << "\n";
}

}  // namespace kumquatmoor
