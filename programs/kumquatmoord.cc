// kumquatmoord: the node daemon. One runs on the host of each backend server.

#include <fcntl.h>
#include <gflags/gflags.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <variant>

#include "kumquatmoor/coordination/table_source.h"
#include "kumquatmoor/node/log_sink.h"
#include "kumquatmoor/node/node.h"
#include "kumquatmoor/node/node_settings.h"
#include "kumquatmoor/node/process_signals.h"
#include "kumquatmoor/node/shutdown_watchdog.h"
#include "platform/deployment_server.h"
#include "platform/operator_source.h"
#include "platform/store_client.h"
#include "platform/wire_names.h"

DEFINE_string(settings, "", "Path of the JSON settings file.");
DEFINE_bool(check_settings, false,
            "Check the settings, print the errors in them, and exit.");
DEFINE_bool(enable_fault_injection, false,
            "For tests only: accept network fault rules on the admin address.");

namespace {

// Runs before the static initialisers, which take most of the time until main.
__attribute__((section(".preinit_array"), used)) void (*const kBlockSignals)() =
    kumquatmoor::ProcessSignals::Block;

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

// Returns the descriptor to log to, or -1 if the file cannot be opened.
int OpenLog(const std::string& path) {
  if (path.empty()) return STDOUT_FILENO;
  constexpr mode_t kReadableByAll = 0644;
  return open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
              kReadableByAll);
}

bool StartLogging(const kumquatmoor::NodeSettings& settings) {
  const int descriptor = OpenLog(settings.log_file);
  if (descriptor < 0) return false;
  auto logger = std::make_shared<spdlog::logger>(
      "node", std::make_shared<kumquatmoor::BufferedSink>(descriptor));
  logger->set_level(spdlog::level::from_str(settings.log_level));
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L " + settings.id + " %v");
  spdlog::set_default_logger(logger);
  return true;
}

bool IsOperatorDeployment(const kumquatmoor::NodeSettings& settings) {
  return settings.configuration == kumquatmoor::ConfigurationKind::kOperator;
}

std::unique_ptr<kumquatmoor::ConfigurationSource> MakeSource(
    const kumquatmoor::NodeSettings& settings, kumquatmoor::Platform* store) {
  if (IsOperatorDeployment(settings)) {
    return std::make_unique<kumquatmoor::platform::OperatorSource>(store);
  }
  return std::make_unique<kumquatmoor::TableSource>(store);
}

// Logs what a process whose grace is almost over still waits for.
void ReportPending(kumquatmoor::Node* node,
                   const kumquatmoor::platform::StoreClient& store) {
  constexpr std::chrono::milliseconds kWriteTimeout{100};
  kumquatmoor::LogAhead("node: event=grace_ends " + node->DescribePending() +
                            " " + store.DescribePending(),
                        kWriteTimeout);
}

kumquatmoor::platform::DeploymentServerOptions MakeServerOptions(
    const kumquatmoor::NodeSettings& settings) {
  return {.readiness_address = settings.readiness_address,
          .announce_address = settings.announce_address,
          .service = settings.service,
          .backend_address = settings.backend_address,
          .announce_interval = settings.announce_interval};
}

}  // namespace

int main(int argc, char** argv) {
  kumquatmoor::ProcessSignals signals;
  kumquatmoor::ShutdownWatchdog watchdog;
  gflags::SetUsageMessage(
      "The kumquatmoor node.\n\n"
      "  kumquatmoord --settings=node.json\n\n"
      "SIGTERM drains the node and ends it. Exit codes: 0 drained, 1 an\n"
      "address cannot be bound, 2 the settings are wrong, 3 the drain did not\n"
      "end before SIGKILL was due.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty()) {
    std::cerr << "kumquatmoord: --settings is missing; see --help\n";
    return kExitBadSettings;
  }
  auto read = kumquatmoor::Attempt(
      [] { return kumquatmoor::ReadNodeSettings(FLAGS_settings); });
  if (auto* failure = std::get_if<kumquatmoor::Failure>(&read)) {
    std::cerr << failure->message << "\n";
    return kExitBadSettings;
  }
  const auto& settings = std::get<kumquatmoor::NodeSettings>(read);
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": good\n";
    return 0;
  }
  watchdog.SetGrace(settings.shutdown_grace);
  if (!StartLogging(settings)) {
    std::cerr << "log_file: " << settings.log_file << " cannot be opened\n";
    return kExitBadSettings;
  }
  kumquatmoor::platform::StoreClient store(
      {.address = settings.platform_address});
  const auto source = MakeSource(settings, &store);
  kumquatmoor::NodeOptions options;
  options.fault_injection = FLAGS_enable_fault_injection;
  options.platform = &store;
  options.source = source.get();
  if (IsOperatorDeployment(settings)) {
    options.headers = kumquatmoor::platform::DeploymentHeaders();
  }
  options.extra_metrics = [&store] {
    return kumquatmoor::FormatMetrics(store.Calls(), store.Generation());
  };
  options.on_reload = [] { spdlog::info("node: event=reload"); };
  kumquatmoor::Node node(settings, std::move(options));
  kumquatmoor::platform::DeploymentServer server(
      node.ControlContext(), MakeServerOptions(settings), &node.Loop(),
      &node.Departures());
  watchdog.SetReport([&node, &store] { ReportPending(&node, store); });
  std::string problem = node.Start();
  if (problem.empty() && IsOperatorDeployment(settings)) {
    problem = server.Start();
  }
  if (!problem.empty()) {
    std::cerr << "kumquatmoord: " << problem << "\n";
    kumquatmoor::FinishLogging();
    std::_Exit(kExitFailed);
  }
  node.WaitForSignal(signals);
  // The other half is left to the end of the process.
  kumquatmoor::FinishLogging(
      watchdog.TimeLeft(kumquatmoor::BufferedSink::kNoTimeout) / 2);
  // Skips the destructors: joining a thread that waits for a response of the
  // platform could take seconds, and the drain has already ended.
  std::_Exit(0);
}
