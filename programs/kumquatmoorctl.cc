// kumquatmoorctl: the operators' command line client.

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "ctl/commands.h"
#include "kumquatmoor/protocol/json_reader.h"
#include "platform/store_client.h"

DEFINE_string(settings, "",
              "JSON file with platform_address and nodes, in place of the "
              "flags --platform and --nodes.");
DEFINE_string(platform, "", "IP:PORT of the platform.");
DEFINE_string(nodes, "", "Control addresses of nodes, IP:PORT,IP:PORT,...");
DEFINE_string(output, "text",
              "Format of the output: text, or json for programs.");
DEFINE_string(author, "", "Author of the change; $USER if not given.");
DEFINE_string(reason, "", "For `recall`: why the version is recalled.");
DEFINE_string(write_id, "", "Id of a write, for `history` and `table apply`.");
DEFINE_string(remove_services, "",
              "Services that `table apply` may remove, separated by commas.");
DEFINE_string(weight, "", "For `table edit`: share of the traffic in percent.");
DEFINE_string(max_concurrent, "",
              "For `table edit`: limit of concurrent requests.");
DEFINE_string(max_rate, "", "For `table edit`: limit of requests per second.");
DEFINE_string(
    move_by, "",
    "For `table edit`: deadline of the move, as a time or as +30s, +10m, +2h.");
DEFINE_bool(remove, false, "For `table edit`: remove the row.");
DEFINE_int64(rounds, 0, "For `watch`: number of rounds; 0: until interrupted.");

namespace {

using kumquatmoor::Failure;
using kumquatmoor::JsonReader;

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

struct Addresses {
  std::string platform;
  std::vector<std::string> nodes;
  std::vector<std::string> problems;
};

Addresses ReadAddresses() {
  Addresses addresses;
  if (!FLAGS_settings.empty()) {
    auto read = kumquatmoor::Attempt(
        [] { return kumquatmoor::ReadJsonFile(FLAGS_settings); });
    if (auto* failure = std::get_if<Failure>(&read)) {
      addresses.problems.push_back(failure->message);
      return addresses;
    }
    JsonReader reader(std::get<boost::json::value>(read), "",
                      &addresses.problems);
    addresses.platform = reader.RequiredAddress("platform_address");
    addresses.nodes = reader.Addresses("nodes");
    reader.RejectUnknownKeys();
  }
  if (!FLAGS_platform.empty()) addresses.platform = FLAGS_platform;
  if (!FLAGS_nodes.empty()) addresses.nodes = Split(FLAGS_nodes);
  if (!addresses.platform.empty() &&
      !kumquatmoor::IsAddress(addresses.platform)) {
    addresses.problems.push_back("--platform: expected IP:PORT");
  }
  for (const auto& node : addresses.nodes) {
    if (!kumquatmoor::IsAddress(node)) {
      addresses.problems.push_back("--nodes: expected IP:PORT, got " + node);
    }
  }
  return addresses;
}

std::string DefaultAuthor() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(kumquatmoor::CommandHelp());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const Addresses addresses = ReadAddresses();
  for (const auto& problem : addresses.problems) {
    std::cerr << "kumquatmoorctl: " << problem << "\n";
  }
  if (!addresses.problems.empty()) return kumquatmoor::kExitUsage;
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    std::cerr << "kumquatmoorctl: --output: expected text or json\n";
    return kumquatmoor::kExitUsage;
  }
  kumquatmoor::platform::StoreClient platform({.address = addresses.platform});
  kumquatmoor::ControlClient client(nullptr);
  const kumquatmoor::CtlContext context{
      .platform = &platform,
      .client = &client,
      .nodes = addresses.nodes,
      .author = FLAGS_author.empty() ? DefaultAuthor() : FLAGS_author,
      .reason = FLAGS_reason,
      .write_id = FLAGS_write_id,
      .removable = Split(FLAGS_remove_services),
      .edit = {.weight = FLAGS_weight,
               .max_concurrent = FLAGS_max_concurrent,
               .max_rate = FLAGS_max_rate,
               .move_by = FLAGS_move_by,
               .remove = FLAGS_remove},
      .json = FLAGS_output == "json",
      .watch_count = FLAGS_rounds,
      .out = &std::cout,
      .err = &std::cerr};
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return kumquatmoor::RunCommand(context, arguments);
}
