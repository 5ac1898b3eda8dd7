#ifndef KUMQUATMOOR_CTL_COMMANDS_H_
#define KUMQUATMOOR_CTL_COMMANDS_H_

// The commands of kumquatmoorctl.
//
//   CtlContext context{.platform = &platform, .nodes = nodes, ...};
//   int exit_code = RunCommand(context, arguments);
//
// Each command prints to `out`, problems to `err`, and gives an exit code.

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
  kExitRefused = 1,      // The request is wrong, or conflicts; nothing changed.
  kExitUsage = 2,        // Bad arguments or settings.
  kExitUnknown = 3,      // The answer was lost; it may have taken effect.
  kExitUnreachable = 4,  // Neither the platform nor a node answers.
};

// A change of one row by `table edit`; unset fields stay.
struct RowEdit {
  std::string weight;
  std::string max_concurrent;
  std::string max_rate;
  std::string move_by;
  bool remove = false;
};

struct CtlContext {
  Platform* platform = nullptr;
  ControlClient* client = nullptr;
  std::vector<std::string> nodes;  // Control addresses.
  std::string author;
  std::string reason;
  std::string write_id;                // Empty: a new one.
  std::vector<std::string> removable;  // Services that may leave the table.
  RowEdit edit;
  bool json = false;
  int64_t watch_count = 0;  // Rounds of `watch`, 0: until interrupted.
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
};

// Runs "table get", "status" and so on; `arguments` are the words of it.
int RunCommand(const CtlContext& context,
               const std::vector<std::string>& arguments);

// The list of commands, for --help.
const char* CommandHelp();

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_CTL_COMMANDS_H_
