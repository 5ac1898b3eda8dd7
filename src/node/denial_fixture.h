#ifndef KUMQUATMOOR_SRC_NODE_DENIAL_FIXTURE_H_
#define KUMQUATMOOR_SRC_NODE_DENIAL_FIXTURE_H_

// DenialFixture: two nodes over loopback, for tests of which requests get a
// status of 3xx or 4xx. One is beside a scripted backend server of the service
// "s", the other one has none and sends every request on. RawCaller writes
// bytes of the test's choice to either of them, so that each side may send what
// a library would not.
//
//   RawCaller caller;
//   caller.Send({Head("GET /a/1 HTTP/1.1") + "\r\n"});
//   CHECK(caller.Status() == 200);

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "kumquatmoor/node/proxy.h"
#include "kumquatmoor/transport/http_server.h"
#include "node/local_runner.h"

namespace kumquatmoor {

// Where callers reach the node beside the backend server, and the other one.
inline constexpr uint16_t kCallerPort = 17'240;
inline constexpr uint16_t kRemoteCallerPort = 17'243;
// Where nodes reach the node beside the backend server, and where a server that
// is no node writes the same bytes as the backend server.
inline constexpr char kDataAddress[] = "127.0.0.1:17241";
inline constexpr char kStrangerAddress[] = "127.0.0.1:17245";

inline constexpr uint32_t kHeaderLimit = 4'096;
inline constexpr uint64_t kBodyLimit = 300'000;

struct DenialOptions {
  uint32_t header_limit = kHeaderLimit;
  uint64_t body_limit = kBodyLimit;
  // Where the other node expects the node beside the backend server.
  std::string data_address = kDataAddress;
  // Organisations and their keys; none: requests need no key.
  std::vector<std::pair<std::string, std::string>> keys = {};
};

class DenialFixture {
 public:
  // What the backend server writes. In it, "ID" is the id of the request.
  std::string reply =
      "HTTP/1.1 200 OK\r\nSigned: y\r\nContent-Length: 2\r\n\r\nok";

  // While it is true, the backend server does not respond to the request with
  // the id "held".
  std::atomic<bool> holds = false;

  // Puts revision 1 in force, unless `configured` is false.
  explicit DenialFixture(bool configured = true);
  ~DenialFixture();
  DenialFixture(const DenialFixture&) = delete;
  DenialFixture& operator=(const DenialFixture&) = delete;

  // Puts a configuration in force whose routes have the host Huts.example and
  // the prefix "/a/", or "/p/" if they are public.
  void Configure(uint64_t revision, const DenialOptions& options);
  // Puts routes of revision 0 in force: the node has joined a mesh in which no
  // configuration is known.
  void JoinWithoutConfiguration();
  // Lets the node beside the backend server know of a newer configuration.
  void SetBehind(bool is_behind);
  // Confirms the configuration of both nodes as of `age` ago.
  void Confirm(std::chrono::milliseconds age);
  // The metrics of the node beside the backend server.
  std::string Metrics();
  // The head of the last request that the backend server has read.
  boost::beast::http::request_header<> LastHead();

 private:
  static ProxyOptions Options(const char* id, const char* caller_address,
                              const char* data_address);
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context m_context{1};
  BoundedRing<Outcome> m_outcomes{1'024};
  Proxy m_proxy;
  Proxy m_remote;
  HttpServer m_backend;
  HttpServer m_stranger;
  std::mutex m_mutex;
  boost::beast::http::request_header<> m_last_head;
  std::thread m_thread;
};

// A connection to a node.
class RawCaller {
 public:
  explicit RawCaller(uint16_t port = kCallerPort);

  // Writes the parts with a pause before each but the first.
  void Send(const std::vector<std::string>& parts);
  void CloseForWriting();
  // The status of the next final response, 0 if the connection ends first.
  unsigned Status();
  // The statuses up to the next final response, which is the last one.
  std::vector<unsigned> Statuses();

 private:
  boost::asio::io_context m_context;
  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
};

// A head with an id of its own, up to the last header line.
std::string Head(const std::string& line, const std::string& fields = "");

// `head`, extended by a header field to `size` bytes with the empty line.
std::string PaddedHead(std::string head, size_t size);

// `head`, extended by fields of 1,000 bytes to about `size` bytes.
std::string LargeHead(std::string head, size_t size);

std::string Chunk(size_t size, const std::string& extension = "");

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_SRC_NODE_DENIAL_FIXTURE_H_
