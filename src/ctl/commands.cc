#include "ctl/commands.h"

#include <google/protobuf/util/json_util.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <random>
#include <sstream>
#include <thread>

#include "kumquatmoor/coordination/table_store.h"

namespace kumquatmoor {
namespace {

namespace json = boost::json;

// Nodes that are handed an accepted batch at once.
constexpr size_t kOfferTo = 3;
constexpr std::chrono::seconds kWatchInterval{1};
constexpr size_t kMaxTableBytes = 16U << 20U;

using Arguments = std::vector<std::string>;

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string NewWriteId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

int ExitCodeOf(const Failure& failure) {
  switch (failure.code) {
    case FailureCode::kInvalid:
    case FailureCode::kNotFound:
    case FailureCode::kConflict:
      return kExitRefused;
    case FailureCode::kUnavailable:
    case FailureCode::kUnknown:
      return kExitUnreachable;
  }
  return kExitUnreachable;
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

// The first answer that a node gives.
template <typename T>
Result<T> AskNodes(const CtlContext& context,
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

// Prints how an Apply ended and gives the exit code.
class ApplyReport {
 public:
  explicit ApplyReport(const CtlContext& context) : m_context(context) {}

  int operator()(const Accepted& accepted) const {
    const Batch& batch = accepted.batch;
    const int64_t accepted_ms = UnixMs();
    size_t told = 0;
    for (const auto& node : m_context.nodes) {
      if (told >= kOfferTo) break;
      auto offered = Attempt([&] {
        return m_context.client->Offer({.address = node, .zone = ""}, batch);
      });
      if (std::holds_alternative<OfferReply>(offered)) ++told;
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
    return kExitGood;
  }

  int operator()(const NothingToDo& nothing) const {
    if (m_context.json) {
      Print({{"outcome", "unchanged"}, {"revision", nothing.revision}});
    } else {
      *m_context.out << fmt::format(
          "unchanged: the table is what revision {} says already\n",
          nothing.revision);
    }
    return kExitGood;
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

// Marks and revision that a node holds, so that a new table is built on what
// is in force. Without a node the platform's own record has to do.
void AddWhatNodesKnow(const CtlContext& context, ApplyRequest* request) {
  SyncRequest ask;
  ask.set_from("kumquatmoorctl");
  auto reply = Attempt([&] {
    return AskNodes<SyncReply>(context, [&](const ControlPeer& peer) {
      return context.client->Sync(peer, ask);
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
  AddWhatNodesKnow(context, &request);
  TableStore store(context.platform);
  return std::visit(ApplyReport(context), store.Apply(request));
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
  return kExitGood;
}

int TableDiff(const CtlContext& context, const Arguments& arguments) {
  auto text = Attempt([&] { return ReadText(arguments[0]); });
  if (auto* failure = std::get_if<Failure>(&text)) {
    return ReportFailure(context, *failure);
  }
  const ParsedTable parsed = ParseCsv(std::get<std::string>(text), UnixMs());
  if (!parsed.problems.empty()) {
    return ApplyReport(context)(Refused{parsed.problems});
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
  return kExitGood;
}

int TableApply(const CtlContext& context, const Arguments& arguments) {
  auto text = Attempt([&] { return ReadText(arguments[0]); });
  if (auto* failure = std::get_if<Failure>(&text)) {
    return ReportFailure(context, *failure);
  }
  ParsedTable parsed = ParseCsv(std::get<std::string>(text), UnixMs());
  if (!parsed.problems.empty()) {
    return ApplyReport(context)(Refused{parsed.problems});
  }
  return ApplyRows(context, std::move(parsed.rows), parsed.revision);
}

// The CSV text of one row after the edit, so that `table edit` reads numbers
// and times exactly as a table does.
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

// Sets one weight and takes the difference from, or gives it to, the other
// row, if the service has just two.
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
      return ApplyReport(context)(Refused{parsed.problems});
    }
    rows.push_back(parsed.rows.front());
    if (!context.edit.weight.empty()) {
      BalanceWeights(parsed.rows.front(), &rows);
    }
  }
  return ApplyRows(context, std::move(rows), batch.revision());
}

void PrintService(std::ostream& out, const ServiceStatus& service) {
  out << fmt::format("{:<16} {:<10}", service.service(), service.outcome());
  for (const auto& version : service.versions()) {
    out << fmt::format(" {}: {}%->{}% ({} targets)", version.version(),
                       version.from_weight(), version.weight(),
                       version.targets());
  }
  if (service.outcome() == "moving" || service.outcome() == "late") {
    const std::map<std::string, uint32_t> stages(
        service.stage_permille().begin(), service.stage_permille().end());
    for (const auto& [zone, stage] : stages) {
      out << fmt::format(" {}={:.1f}%", zone, stage / 10.0);
    }
  }
  if (service.move_by_ms() > 0) {
    out << " by " << FormatTime(service.move_by_ms());
  }
  if (!service.reason().empty()) out << "; " << service.reason();
  out << "\n";
}

void PrintStatus(std::ostream& out, const StatusReply& status) {
  if (status.holding() == status.live_nodes()) {
    out << fmt::format("revision {} is in force on all {} nodes\n",
                       status.revision(), status.live_nodes());
  } else {
    out << fmt::format("revision {} is in force on {} of {} nodes at least\n",
                       status.revision(), status.holding(),
                       status.live_nodes());
  }
  for (const auto& zone : status.zones()) {
    if (!zone.reached()) {
      out << "  zone " << zone.zone() << ": not reached\n";
    } else if (zone.report().lowest_revision() < status.revision()) {
      out << fmt::format("  zone {}: some at revision {}; behind:", zone.zone(),
                         zone.report().lowest_revision());
      for (const auto& id : zone.report().behind()) out << " " << id;
      out << "\n";
    }
  }
  for (const auto& warning : status.warnings()) {
    out << "  warning: " << warning << "\n";
  }
  for (const auto& service : status.services()) PrintService(out, service);
}

int Status(const CtlContext& context, const Arguments& /*arguments*/) {
  auto answer = Attempt([&] {
    return AskNodes<StatusReply>(context, [&](const ControlPeer& peer) {
      return context.client->GetStatus(peer);
    });
  });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    return ReportFailure(context, *failure);
  }
  const StatusReply& status = std::get<StatusReply>(answer);
  if (context.json) {
    PrintMessage(context, status);
  } else {
    PrintStatus(*context.out, status);
  }
  return kExitGood;
}

int Watch(const CtlContext& context, const Arguments& arguments) {
  int code = kExitGood;
  for (int64_t i = 0; context.watch_count == 0 || i < context.watch_count;
       ++i) {
    if (i > 0) std::this_thread::sleep_for(kWatchInterval);
    code = Status(context, arguments);
    context.out->flush();
  }
  return code;
}

int Recall(const CtlContext& context, const Arguments& arguments) {
  RecallRequest request;
  request.set_service(arguments[0]);
  request.set_version(arguments[1]);
  request.set_author(context.author);
  request.set_reason(context.reason.empty() ? "an operator took it back"
                                            : context.reason);
  auto answer = Attempt([&] {
    return AskNodes<RecallReply>(context, [&](const ControlPeer& peer) {
      return context.client->RecallVersion(peer, request);
    });
  });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    return ReportFailure(context, *failure);
  }
  const RecallReply& reply = std::get<RecallReply>(answer);
  if (!reply.accepted()) {
    *context.err << "not accepted: " << reply.message() << "\n";
    return kExitRefused;
  }
  *context.out << fmt::format("accepted: {}/{} is being taken back\n",
                              arguments[0], arguments[1]);
  return kExitGood;
}

int History(const CtlContext& context, const Arguments& /*arguments*/) {
  TableStore store(context.platform);
  auto read = Attempt([&] { return store.ReadHead(); });
  if (auto* failure = std::get_if<Failure>(&read)) {
    return ReportFailure(context, *failure);
  }
  const Head& head = std::get<Head>(read);
  if (!context.write_id.empty()) {
    const HeadEntry* entry = head.FindWrite(context.write_id);
    if (entry == nullptr) {
      *context.out << fmt::format(
          "write id {} is not among the latest {} accepted tables\n",
          context.write_id, head.entries.size());
      return kExitRefused;
    }
    *context.out << fmt::format("write id {}: accepted as revision {}\n",
                                context.write_id, entry->revision);
    return kExitGood;
  }
  if (context.json) {
    *context.out << FormatHead(head) << "\n";
    return kExitGood;
  }
  for (const auto& entry : head.entries) {
    *context.out << fmt::format("{:>8} {} {} {}\n", entry.revision,
                                FormatTime(entry.written_ms), entry.write_id,
                                entry.author);
  }
  return kExitGood;
}

int Nodes(const CtlContext& context, const Arguments& /*arguments*/) {
  auto answer = Attempt([&] {
    return AskNodes<NodesReply>(context, [&](const ControlPeer& peer) {
      return context.client->GetNodes(peer);
    });
  });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    return ReportFailure(context, *failure);
  }
  const NodesReply& nodes = std::get<NodesReply>(answer);
  if (context.json) {
    PrintMessage(context, nodes);
    return kExitGood;
  }
  for (const auto& member : nodes.members()) {
    *context.out << fmt::format(
        "{:<16} {:<8} {:<8} {}", member.id(), member.zone(),
        MemberStatus_Name(member.status()), member.data_address());
    for (const auto& endpoint : member.endpoints()) {
      *context.out << fmt::format(" {}/{} {} slots{}", endpoint.service(),
                                  endpoint.version(), endpoint.slots(),
                                  endpoint.draining() ? " draining" : "");
    }
    *context.out << "\n";
  }
  return kExitGood;
}

int Explain(const CtlContext& context, const Arguments& arguments) {
  auto answer = Attempt([&] {
    return AskNodes<ExplainReply>(context, [&](const ControlPeer& peer) {
      return context.client->Explain(peer, arguments[0]);
    });
  });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    return ReportFailure(context, *failure);
  }
  for (const auto& line : std::get<ExplainReply>(answer).lines()) {
    *context.out << line << "\n";
  }
  return kExitGood;
}

struct Command {
  Arguments words;
  size_t arguments;
  int (*run)(const CtlContext&, const Arguments&);
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {{"table", "get"}, 0, TableGet},
      {{"table", "diff"}, 1, TableDiff},
      {{"table", "apply"}, 1, TableApply},
      {{"table", "edit"}, 2, TableEdit},
      {{"status"}, 0, Status},
      {{"watch"}, 0, Watch},
      {{"recall"}, 2, Recall},
      {{"history"}, 0, History},
      {{"nodes"}, 0, Nodes},
      {{"explain"}, 1, Explain},
  };
  return kCommands;
}

}  // namespace

const char* CommandHelp() {
  return "The operators' client of kumquatmoor.\n\n"
         "  kumquatmoorctl [flags] COMMAND\n\n"
         "  table get               print the table as CSV\n"
         "  table diff FILE         compare a CSV file with the table\n"
         "  table apply FILE        make a CSV file the table\n"
         "  table edit SERVICE VERSION --weight=N --max_concurrent=N\n"
         "      --max_rate=N --move_by=TIME | --remove\n"
         "                          change one row\n"
         "  status                  each service's move, and which nodes hold\n"
         "                          the table\n"
         "  watch                   status, every second\n"
         "  recall SERVICE VERSION  take a version back, everywhere, for good\n"
         "  history                 the latest accepted tables\n"
         "  history --write_id=ID   whether that write was accepted\n"
         "  nodes                   every node and its backend servers\n"
         "  explain SERVICE         where a request would go, and why\n\n"
         "Exit codes: 0 good, 1 refused (nothing changed), 2 bad usage or\n"
         "settings, 3 unknown (may have taken effect), 4 unreachable.";
}

int RunCommand(const CtlContext& context, const Arguments& arguments) {
  for (const auto& command : Commands()) {
    const size_t words = command.words.size();
    if (arguments.size() != words + command.arguments) continue;
    if (!std::equal(command.words.begin(), command.words.end(),
                    arguments.begin())) {
      continue;
    }
    const Arguments rest(arguments.begin() + static_cast<std::ptrdiff_t>(words),
                         arguments.end());
    return command.run(context, rest);
  }
  *context.err << "kumquatmoorctl: no such command; see --help\n";
  return kExitUsage;
}

}  // namespace kumquatmoor
