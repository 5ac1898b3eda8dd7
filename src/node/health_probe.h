#ifndef KUMQUATMOOR_SRC_NODE_HEALTH_PROBE_H_
#define KUMQUATMOOR_SRC_NODE_HEALTH_PROBE_H_

// HealthProbe: reads from the health checks of the local backend servers for
// how much longer they are cold.
//
//   HealthProbe probe(context, {.cold_header = "Cold-Ms"}, targets, on_report);
//   probe.Start();
//
// `targets` returns what to probe; it is called before each round.
// Announcements have the same information, but seldom: a backend server that
// becomes cold in between would get its usual load until the next one. Each
// backend server is probed over one connection, which is kept open.
//
// Used from the thread that runs `context`.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatmoor {

struct HealthProbeOptions {
  // Header of the response with the milliseconds for which the backend server
  // stays cold.
  std::string cold_header;
  // Between two rounds. At 100 requests per second a backend server that
  // becomes cold gets 20 before this is noticed.
  std::chrono::milliseconds interval{200};
  std::chrono::milliseconds timeout{150};  // Of one probe.
};

class HealthProbe {
 public:
  struct Target {
    std::string address;  // "IP:PORT"
    std::string path;
  };
  struct Report {
    std::string address;
    // Empty: no connection could be established.
    std::optional<std::chrono::milliseconds> cold_left;
  };

  HealthProbe(boost::asio::io_context& context, HealthProbeOptions options,
              std::function<std::vector<Target>()> targets,
              std::function<void(const Report&)> on_report);

  void Start();

 private:
  struct Connection {
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
  };

  boost::asio::awaitable<void> Run();
  // Reports what the probe shows, if anything.
  boost::asio::awaitable<void> Probe(const Target& target);
  // Sends the request and reads the response. Empty if it does not have the
  // header.
  boost::asio::awaitable<std::optional<std::chrono::milliseconds>> Ask(
      const Target& target, Connection& connection, bool* keep_open) const;

  boost::asio::io_context& m_context;
  HealthProbeOptions m_options;
  std::function<std::vector<Target>()> m_targets;
  std::function<void(const Report&)> m_on_report;
  std::map<std::string, Connection> m_connections;  // By address.
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_HEALTH_PROBE_H_
