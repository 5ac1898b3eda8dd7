// kumquatmoord: the node, one on each backend server host.

#include <gflags/gflags.h>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <iostream>
#include <variant>

#include "kumquatmoor/node/node.h"
#include "kumquatmoor/node/node_settings.h"

DEFINE_string(settings, "", "Path of the JSON settings file.");
DEFINE_bool(check_settings, false,
            "Check the settings, say what is wrong with them, and exit.");
DEFINE_bool(enable_fault_injection, false,
            "For tests only: take network faults on the admin address.");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;
// Log lines that wait to be written; the oldest are dropped beyond this.
constexpr size_t kLogQueue = 8'192;

void StartLogging(const kumquatmoor::NodeSettings& settings) {
  spdlog::init_thread_pool(kLogQueue, 1);
  std::shared_ptr<spdlog::logger> logger;
  if (settings.log_file.empty()) {
    logger = spdlog::create_async_nb<spdlog::sinks::stderr_sink_mt>("node");
  } else {
    logger = spdlog::create_async_nb<spdlog::sinks::basic_file_sink_mt>(
        "node", settings.log_file);
  }
  logger->set_level(spdlog::level::from_str(settings.log_level));
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L " + settings.id + " %v");
  spdlog::set_default_logger(logger);
  spdlog::flush_every(std::chrono::seconds(1));
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "The kumquatmoor node.\n\n"
      "  kumquatmoord --settings=node.json\n\n"
      "SIGTERM drains the node and ends it. Exit codes: 0 drained, 1 an\n"
      "address cannot be bound, 2 the settings are wrong.");
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
  StartLogging(settings);
  kumquatmoor::Node node(settings,
                         {.fault_injection = FLAGS_enable_fault_injection});
  const std::string problem = node.Start();
  if (!problem.empty()) {
    std::cerr << "kumquatmoord: " << problem << "\n";
    return kExitFailed;
  }
  node.WaitForSignal();
  spdlog::shutdown();
  return 0;
}
