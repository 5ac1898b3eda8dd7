#ifndef KUMQUATMOOR_CTL_COMMANDS_H_
#define KUMQUATMOOR_CTL_COMMANDS_H_

// The commands of kumquatmoorctl.
//
//   CtlContext context{.platform = &platform, .nodes = nodes, ...};
//   int exit_code = RunCommand(context, arguments);
//
// Each command prints its result to `out` and errors to `err`, and returns an
// exit code.

#include <ostream>
#include <string>
#include <vector>

#include "kumquatmoor/coordination/control_client.h"
#include "kumquatmoor/coordination/platform.h"
#include "kumquatmoor/state/table.h"

namespace kumquatmoor {

// Exit codes of kumquatmoorctl.
enum ExitCode : int {
  kExitSuccess = 0,
  kExitRefused = 1,  // The request is invalid or conflicts; no change.
  kExitUsage = 2,    // Invalid arguments or settings.
  kExitUnknown = 3,  // The reply was lost; the change may have taken effect.
  kExitUnreachable = 4,  // The platform, or every node, did not answer.
};

// A change of one table row by `table edit`. Empty fields keep their value.
struct RowEdit {
  std::string weight;
  std::string max_concurrent;
  std::string max_rate;
  std::string move_by;
  bool remove = false;
};

// The environment and the flags of a command. Owns none of the objects that it
// points to.
struct CtlContext {
  Platform* platform = nullptr;
  ControlClient* client = nullptr;
  std::vector<std::string> nodes;  // Control addresses, tried in this order.
  std::string author;
  std::string reason;                  // For `recall`; empty: a default.
  std::string write_id;                // Empty: a new one is generated.
  std::vector<std::string> removable;  // Services that `apply` may remove.
  RowEdit edit;
  bool json = false;
  int64_t watch_count = 0;  // Repetitions of `watch`; 0: until interrupted.
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
};

// Runs a command and returns its exit code. `arguments` are the words of the
// command line, such as {"table", "diff", "new.csv"}.
int RunCommand(const CtlContext& context,
               const std::vector<std::string>& arguments);

// The text of --help: the commands and the exit codes.
const char* CommandHelp();

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_CTL_COMMANDS_H_
