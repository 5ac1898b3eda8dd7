#include "ctl/commands.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <thread>

#include "ctl/command_helpers.h"
#include "ctl/table_commands.h"
#include "kumquatmoor/coordination/table_store.h"
#include "kumquatmoor/state/crash_suspects.h"
#include "kumquatmoor/state/store_revision.h"

namespace kumquatmoor {
namespace {

constexpr std::chrono::seconds kWatchInterval{1};

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
                       FormatRevision(status.revision()), status.live_nodes());
  } else {
    out << fmt::format("revision {} is in force on {} of {} nodes at least\n",
                       FormatRevision(status.revision()), status.holding(),
                       status.live_nodes());
  }
  for (const auto& zone : status.zones()) {
    if (!zone.reached()) {
      out << "  zone " << zone.zone() << ": not reached\n";
    } else if (zone.report().lowest_revision() < status.revision()) {
      out << fmt::format("  zone {}: some at revision {}; behind:", zone.zone(),
                         FormatRevision(zone.report().lowest_revision()));
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
    return CallAnyNode<StatusReply>(context, [&](const ControlPeer& peer) {
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
  return kExitSuccess;
}

int Watch(const CtlContext& context, const Arguments& arguments) {
  int code = kExitSuccess;
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
    return CallAnyNode<RecallReply>(context, [&](const ControlPeer& peer) {
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
  return kExitSuccess;
}

int Crashes(const CtlContext& context, const Arguments& /*arguments*/) {
  auto answer = Attempt([&] {
    return CallAnyNode<CrashesReply>(context, [&](const ControlPeer& peer) {
      return context.client->GetCrashes(peer);
    });
  });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    return ReportFailure(context, *failure);
  }
  const CrashesReply& reply = std::get<CrashesReply>(answer);
  if (context.json) {
    PrintMessage(context, reply);
    return kExitSuccess;
  }
  for (const auto& record : reply.records()) {
    *context.out << fmt::format(
        "{} {}\n", record.key(),
        IsBlockedAnywhere(record) ? "blocked" : "not blocked");
    for (const auto& version : record.versions()) {
      *context.out << fmt::format("  {}/{}: {} crashed{}\n", version.service(),
                                  version.version(), version.instances_size(),
                                  version.responded() ? ", responded" : "");
    }
  }
  return kExitSuccess;
}

int ClearCrashes(const CtlContext& context, const Arguments& arguments) {
  auto answer = Attempt([&] {
    return CallAnyNode<ClearCrashesReply>(
        context, [&](const ControlPeer& peer) {
          return context.client->ClearCrashes(peer, arguments[0]);
        });
  });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    return ReportFailure(context, *failure);
  }
  if (!std::get<ClearCrashesReply>(answer).accepted()) {
    *context.err << "not accepted: no request with this key is known\n";
    return kExitRefused;
  }
  *context.out << "accepted: the request may run again\n";
  return kExitSuccess;
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
    return kExitSuccess;
  }
  if (context.json) {
    *context.out << FormatHead(head) << "\n";
    return kExitSuccess;
  }
  for (const auto& entry : head.entries) {
    *context.out << fmt::format("{:>8} {} {} {}\n", entry.revision,
                                FormatTime(entry.written_ms), entry.write_id,
                                entry.author);
  }
  return kExitSuccess;
}

int Nodes(const CtlContext& context, const Arguments& /*arguments*/) {
  auto answer = Attempt([&] {
    return CallAnyNode<NodesReply>(context, [&](const ControlPeer& peer) {
      return context.client->GetNodes(peer);
    });
  });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    return ReportFailure(context, *failure);
  }
  const NodesReply& nodes = std::get<NodesReply>(answer);
  if (context.json) {
    PrintMessage(context, nodes);
    return kExitSuccess;
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
  return kExitSuccess;
}

int Explain(const CtlContext& context, const Arguments& arguments) {
  auto answer = Attempt([&] {
    return CallAnyNode<ExplainReply>(context, [&](const ControlPeer& peer) {
      return context.client->Explain(peer, arguments[0]);
    });
  });
  if (auto* failure = std::get_if<Failure>(&answer)) {
    return ReportFailure(context, *failure);
  }
  for (const auto& line : std::get<ExplainReply>(answer).lines()) {
    *context.out << line << "\n";
  }
  return kExitSuccess;
}

struct Command {
  Arguments words;   // The name, such as {"table", "get"}.
  size_t arguments;  // How many follow the name.
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
      {{"crashes"}, 0, Crashes},
      {{"crashes", "clear"}, 1, ClearCrashes},
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
         "  explain SERVICE         where a request would go, and why\n"
         "  crashes                 requests that ran when backend servers\n"
         "                          crashed, and which of them are blocked\n"
         "  crashes clear KEY       let a blocked request run again\n\n"
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
