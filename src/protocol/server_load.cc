#include "kumquatmoor/protocol/server_load.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>

#include "kumquatmoor/protocol/backend_notice.h"

namespace kumquatmoor {
namespace {

// Bounds of the run time in per cent. A host that is 100 times slower than
// usual is as good as stopped.
constexpr double kMinPercent = 1;
constexpr double kMaxPercent = 10'000;

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") + 1 - first);
}

std::optional<uint32_t> ParseNumber(std::string_view text) {
  uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

}  // namespace

std::optional<ServerLoad> ParseServerLoad(std::string_view text) {
  std::array<std::string_view, 4> figures;
  size_t count = 0;
  while (true) {
    if (count == figures.size()) return std::nullopt;
    const size_t comma = text.find(',');
    figures[count++] = Trim(text.substr(0, comma));
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  if (count < 3) return std::nullopt;
  const auto running = ParseNumber(figures[0]);
  const auto waiting = ParseNumber(figures[1]);
  const auto slots = ParseNumber(figures[2]);
  if (!running || !waiting || !slots) return std::nullopt;
  ServerLoad load{.running = *running, .waiting = *waiting, .slots = *slots};
  if (count == 3) return load;
  const auto percent = ParseRate(figures[3]);
  if (!percent || *percent < kMinPercent || *percent > kMaxPercent) {
    return std::nullopt;
  }
  load.run_time_percent = static_cast<uint32_t>(std::lround(*percent));
  return load;
}

}  // namespace kumquatmoor
