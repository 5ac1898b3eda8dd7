#ifndef KUMQUATMOOR_CTL_TABLE_COMMANDS_H_
#define KUMQUATMOOR_CTL_TABLE_COMMANDS_H_

// The commands that read and write the table: `table get`, `diff`, `apply` and
// `edit`. Each takes the words after its name and returns an exit code.

#include "ctl/answers.h"
#include "ctl/commands.h"

namespace kumquatmoor {

// Prints the table as CSV, or the batch as JSON. No arguments.
int TableGet(const CtlContext& context, const Arguments& arguments);
// Prints the differences between the table and a CSV file. Argument: FILE.
int TableDiff(const CtlContext& context, const Arguments& arguments);
// Replaces the table by a CSV file. Argument: FILE.
int TableApply(const CtlContext& context, const Arguments& arguments);
// Applies `context.edit` to one row. Arguments: SERVICE VERSION.
int TableEdit(const CtlContext& context, const Arguments& arguments);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_CTL_TABLE_COMMANDS_H_
