#include "ctl/table_commands.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>

#include "kumquatmoor/coordination/table_store.h"

namespace kumquatmoor {
namespace {

namespace json = boost::json;

// Number of nodes to which an accepted batch is sent directly.
constexpr size_t kMaxOfferedNodes = 3;
constexpr size_t kMaxTableBytes = 16U << 20U;

std::string NewWriteId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

// Visits the result of TableStore::Apply: prints it and returns the exit code.
// An accepted batch is also offered to a few nodes, so that they need not wait
// for a gateway to read it from the platform.
class ApplyResultPrinter {
 public:
  explicit ApplyResultPrinter(const CtlContext& context) : m_context(context) {}

  int operator()(const Accepted& accepted) const {
    const Batch& batch = accepted.batch;
    const int64_t accepted_ms = UnixMs();
    size_t offered_nodes = 0;
    for (const auto& node : m_context.nodes) {
      if (offered_nodes >= kMaxOfferedNodes) break;
      auto offered = Attempt([&] {
        return m_context.client->Offer({.address = node, .zone = ""}, batch);
      });
      if (std::holds_alternative<OfferReply>(offered)) ++offered_nodes;
    }
    if (m_context.json) {
      Print({{"outcome", "accepted"},
             {"revision", batch.revision()},
             {"write_id", batch.write_id()},
             {"accepted_ms", accepted_ms}});
    } else {
      *m_context.out << fmt::format(
          "accepted: revision {} (write id {})\nSee `kumquatmoorctl status` "
          "for when it is in force on every node.\n",
          batch.revision(), batch.write_id());
    }
    return kExitSuccess;
  }

  int operator()(const NothingToDo& nothing) const {
    if (m_context.json) {
      Print({{"outcome", "unchanged"}, {"revision", nothing.revision}});
    } else {
      *m_context.out << fmt::format(
          "unchanged: the table is what revision {} says already\n",
          nothing.revision);
    }
    return kExitSuccess;
  }

  int operator()(const Refused& refused) const {
    json::array problems;
    for (const auto& problem : refused.problems) {
      problems.push_back({{"line", problem.line},
                          {"column", problem.column},
                          {"message", problem.message}});
      if (!m_context.json) *m_context.err << ProblemText(problem) << "\n";
    }
    if (m_context.json) {
      Print({{"outcome", "refused"}, {"problems", std::move(problems)}});
    } else {
      *m_context.err << "not accepted: nothing was written\n";
    }
    return kExitRefused;
  }

  int operator()(const NotAccepted& not_accepted) const {
    if (m_context.json) {
      Print({{"outcome", "not accepted"}, {"reason", not_accepted.reason}});
    } else {
      *m_context.err << "not accepted: " << not_accepted.reason << "\n";
    }
    return kExitUnreachable;
  }

  int operator()(const OutcomeUnknown& unknown) const {
    if (m_context.json) {
      Print({{"outcome", "unknown"},
             {"write_id", unknown.write_id},
             {"reason", unknown.reason}});
    } else {
      *m_context.err << fmt::format(
          "unknown: {}\nThe table may or may not be accepted. Find out with\n"
          "  kumquatmoorctl history --write_id={}\n",
          unknown.reason, unknown.write_id);
    }
    return kExitUnknown;
  }

 private:
  void Print(const json::object& object) const {
    *m_context.out << json::serialize(object) << "\n";
  }

  const CtlContext& m_context;
};

// Adds the marks and the revision of a node to the request, so that the new
// table is based on the state in force. If no node answers, only the state
// stored on the platform is used.
void AddMeshState(const CtlContext& context, ApplyRequest* request) {
  SyncRequest sync_request;
  sync_request.set_from("kumquatmoorctl");
  auto reply = Attempt([&] {
    return CallAnyNode<SyncReply>(context, [&](const ControlPeer& peer) {
      return context.client->Sync(peer, sync_request);
    });
  });
  if (auto* sync = std::get_if<SyncReply>(&reply)) {
    request->known_revision = sync->batch().revision();
    request->known_marks = {sync->marks().begin(), sync->marks().end()};
  }
}

int ApplyRows(const CtlContext& context, std::vector<TableRow> rows,
              std::optional<uint64_t> copied_from) {
  ApplyRequest request;
  request.rows = std::move(rows);
  request.copied_from = copied_from;
  request.removable = context.removable;
  request.write_id = context.write_id.empty() ? NewWriteId() : context.write_id;
  request.author = context.author;
  request.now_ms = UnixMs();
  AddMeshState(context, &request);
  TableStore store(context.platform);
  return std::visit(ApplyResultPrinter(context), store.Apply(request));
}

Result<std::string> ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return Fail(FailureCode::kInvalid, path + ": cannot be opened");
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  if (text.size() > kMaxTableBytes) {
    return Fail(FailureCode::kInvalid, path + ": larger than 16 MiB");
  }
  return text;
}

// Returns the edited row as a CSV table, so that `table edit` parses numbers
// and times exactly as `table apply` does.
std::string EditedRow(const TableRow& row, const RowEdit& edit) {
  const auto limit = [](uint32_t value) {
    return value == 0 ? std::string() : std::to_string(value);
  };
  const auto pick = [](const std::string& changed, const std::string& old) {
    return changed.empty() ? old : changed;
  };
  return fmt::format(
      "service,version,weight,max_concurrent,max_rate,move_by\n"
      "{},{},{},{},{},{}\n",
      row.service, row.version, pick(edit.weight, std::to_string(row.weight)),
      pick(edit.max_concurrent, limit(row.max_concurrent)),
      pick(edit.max_rate, limit(row.max_rate)),
      pick(edit.move_by, FormatTime(row.move_by_ms)));
}

// If the service has exactly two versions, sets the weight of the other one so
// that both sum up to the full weight.
void BalanceWeights(const TableRow& edited, std::vector<TableRow>* rows) {
  std::vector<TableRow*> others;
  for (auto& row : *rows) {
    const bool other =
        row.service == edited.service && row.version != edited.version;
    if (other) others.push_back(&row);
  }
  if (others.size() != 1 || edited.weight > kFullWeight) return;
  others.front()->weight = kFullWeight - edited.weight;
}

}  // namespace

int TableGet(const CtlContext& context, const Arguments& /*arguments*/) {
  TableStore store(context.platform);
  auto current = Attempt([&] { return store.ReadCurrent(); });
  if (auto* failure = std::get_if<Failure>(&current)) {
    return ReportFailure(context, *failure);
  }
  const Batch& batch = std::get<Batch>(current);
  if (context.json) {
    PrintMessage(context, batch);
  } else {
    *context.out << WriteCsv(RowsOf(batch), batch.revision());
  }
  return kExitSuccess;
}

int TableDiff(const CtlContext& context, const Arguments& arguments) {
  auto text = Attempt([&] { return ReadText(arguments[0]); });
  if (auto* failure = std::get_if<Failure>(&text)) {
    return ReportFailure(context, *failure);
  }
  const ParsedTable parsed = ParseCsv(std::get<std::string>(text), UnixMs());
  if (!parsed.problems.empty()) {
    return ApplyResultPrinter(context)(Refused{parsed.problems});
  }
  TableStore store(context.platform);
  auto current = Attempt([&] { return store.ReadCurrent(); });
  if (auto* failure = std::get_if<Failure>(&current)) {
    return ReportFailure(context, *failure);
  }
  const auto lines = DiffTables(RowsOf(std::get<Batch>(current)), parsed.rows);
  if (context.json) {
    json::array list(lines.begin(), lines.end());
    *context.out << json::serialize(list) << "\n";
  } else {
    for (const auto& line : lines) *context.out << line << "\n";
  }
  return kExitSuccess;
}

int TableApply(const CtlContext& context, const Arguments& arguments) {
  auto text = Attempt([&] { return ReadText(arguments[0]); });
  if (auto* failure = std::get_if<Failure>(&text)) {
    return ReportFailure(context, *failure);
  }
  ParsedTable parsed = ParseCsv(std::get<std::string>(text), UnixMs());
  if (!parsed.problems.empty()) {
    return ApplyResultPrinter(context)(Refused{parsed.problems});
  }
  return ApplyRows(context, std::move(parsed.rows), parsed.revision);
}

int TableEdit(const CtlContext& context, const Arguments& arguments) {
  TableStore store(context.platform);
  auto current = Attempt([&] { return store.ReadCurrent(); });
  if (auto* failure = std::get_if<Failure>(&current)) {
    return ReportFailure(context, *failure);
  }
  const Batch& batch = std::get<Batch>(current);
  std::vector<TableRow> rows = RowsOf(batch);
  TableRow row{.service = arguments[0], .version = arguments[1]};
  auto found = std::find_if(rows.begin(), rows.end(), [&](const auto& r) {
    return r.service == row.service && r.version == row.version;
  });
  if (found != rows.end()) {
    row = *found;
    rows.erase(found);
  }
  if (!context.edit.remove) {
    ParsedTable parsed = ParseCsv(EditedRow(row, context.edit), UnixMs());
    if (!parsed.problems.empty()) {
      return ApplyResultPrinter(context)(Refused{parsed.problems});
    }
    rows.push_back(parsed.rows.front());
    if (!context.edit.weight.empty()) {
      BalanceWeights(parsed.rows.front(), &rows);
    }
  }
  return ApplyRows(context, std::move(rows), batch.revision());
}

}  // namespace kumquatmoor
