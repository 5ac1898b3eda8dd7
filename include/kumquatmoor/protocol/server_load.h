#ifndef KUMQUATMOOR_PROTOCOL_SERVER_LOAD_H_
#define KUMQUATMOOR_PROTOCOL_SERVER_LOAD_H_

// ServerLoad: what a backend server says of its load in a response.
//
//   if (auto load = ParseServerLoad("3,0,8,250")) Use(load->run_time_percent);
//
// The value has three figures or four: the requests that run, those that wait,
// the slots, and the time that work takes now in per cent of the usual time.

#include <cstdint>
#include <optional>
#include <string_view>

namespace kumquatmoor {

struct ServerLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  std::optional<uint32_t> run_time_percent;  // At least 1.
};

// Returns nullopt if the text is not of this form.
std::optional<ServerLoad> ParseServerLoad(std::string_view text);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_PROTOCOL_SERVER_LOAD_H_
