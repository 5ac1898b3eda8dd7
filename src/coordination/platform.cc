#include "kumquatmoor/coordination/platform.h"

#include <spdlog/fmt/fmt.h>

namespace kumquatmoor {

std::string FormatMetrics(const PlatformCalls& calls, uint64_t generation) {
  std::string text =
      fmt::format("kumquatmoor_store_generation {}\n", generation);
  const auto count = [&](const char* kind, uint64_t value) {
    text += fmt::format("kumquatmoor_platform_calls_total{{kind=\"{}\"}} {}\n",
                        kind, value);
  };
  count("get", calls.get);
  count("list", calls.list);
  count("cas", calls.swap);
  count("watch", calls.watch);
  count("delete", calls.remove);
  count("failed", calls.failed);
  return text;
}

}  // namespace kumquatmoor
