#ifndef KUMQUATMOOR_CTL_TABLE_COMMANDS_H_
#define KUMQUATMOOR_CTL_TABLE_COMMANDS_H_

// The commands that read and write the table: `table get`, `diff`, `apply` and
// `edit`. Each takes its arguments and gives an exit code.

#include "ctl/answers.h"
#include "ctl/commands.h"

namespace kumquatmoor {

int TableGet(const CtlContext& context, const Arguments& arguments);
// FILE
int TableDiff(const CtlContext& context, const Arguments& arguments);
// FILE
int TableApply(const CtlContext& context, const Arguments& arguments);
// SERVICE VERSION, with the change in `context.edit`.
int TableEdit(const CtlContext& context, const Arguments& arguments);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_CTL_TABLE_COMMANDS_H_
