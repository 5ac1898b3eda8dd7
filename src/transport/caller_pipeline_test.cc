// Tests the order of the requests on a caller's connection, and how the
// pipeline tells the next request from the end of the connection.

#include "kumquatmoor/transport/caller_pipeline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string_view>

#include "kumquatmoor/transport/caller_watch.h"

namespace kumquatmoor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Both ends of a connection. The context runs by hand.
class PipelineFixture {
 public:
  PipelineFixture() : peer(peer_context) {
    tcp::acceptor acceptor(peer_context,
                           {asio::ip::make_address("127.0.0.1"), 0});
    stream.socket().connect(acceptor.local_endpoint());
    peer = acceptor.accept();
    pipeline = std::make_shared<CallerPipeline>(stream, buffer);
  }

  void AwaitNext() {
    next.reset();
    asio::co_spawn(context, Await(), asio::detached);
  }
  void SendFromPeer(std::string_view bytes) {
    asio::write(peer, asio::buffer(bytes));
  }
  void RunAll() {
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
  }

  asio::io_context context{1};
  asio::io_context peer_context;
  boost::beast::tcp_stream stream{context};
  boost::beast::flat_buffer buffer;
  tcp::socket peer;
  std::shared_ptr<CallerPipeline> pipeline;
  std::optional<bool> next;  // What AwaitNext returned.

 private:
  asio::awaitable<void> Await() {
    next = co_await pipeline->AwaitNext(1, [] { return true; });
  }
};

TEST_CASE("Requests are first in the order in which they were added") {
  RequestOrder order;
  const auto first = order.Add(10);
  const auto second = order.Add(10);
  CHECK(order.IsFirst(first));
  CHECK_FALSE(order.IsFirst(second));
  order.Remove(second);
  CHECK(order.IsFirst(first));
  order.Remove(first);
  CHECK(order.IsEmpty());
  CHECK(order.IsLast(second));
}

// Guards against a connection that holds more than its part of the memory.
TEST_CASE("Requests in flight are bounded by number and by bytes") {
  RequestOrder by_number({.requests = 2, .bytes = 100});
  by_number.Add(1);
  CHECK(by_number.HasRoom(1));
  const auto second = by_number.Add(1);
  CHECK_FALSE(by_number.HasRoom(1));
  by_number.Remove(second);
  CHECK(by_number.HasRoom(99));
  CHECK_FALSE(by_number.HasRoom(100));
}

// Guards against requests that run behind a response that closes.
TEST_CASE("A response that closes cancels the requests behind it for good") {
  RequestOrder order;
  const auto first = order.Add(1);
  const auto second = order.Add(1);
  order.CancelAfter(first);
  CHECK_FALSE(order.IsCancelled(first));
  CHECK(order.IsCancelled(second));
  CHECK(order.IsCancelled(order.Add(1)));
  CHECK_FALSE(order.IsOpen());
  order.CancelAfter(second);
  CHECK(order.IsCancelled(second));
}

TEST_CASE_METHOD(PipelineFixture, "An empty line is no request") {
  pipeline->Add(1);
  AwaitNext();
  SendFromPeer("\r\n");
  RunAll();
  CHECK_FALSE(next);
  SendFromPeer("G");
  RunAll();
  CHECK(next == true);
}

TEST_CASE_METHOD(PipelineFixture, "The end of a connection cancels requests") {
  const auto ticket = pipeline->Add(1);
  int gone = 0;
  const CallerWatch watch(PipelinePlace{.pipeline = pipeline, .ticket = ticket},
                          [&] { ++gone; });
  AwaitNext();
  RunAll();
  CHECK(gone == 0);
  peer.close();
  RunAll();
  CHECK(gone == 1);
  CHECK(next == false);
  const CallerWatch late(PipelinePlace{.pipeline = pipeline, .ticket = ticket},
                         [&] { ++gone; });
  RunAll();
  CHECK(gone == 2);
}

// Guards against a connection that is taken for ended because the bytes that
// made it readable have been read before the wait for them ends.
TEST_CASE_METHOD(PipelineFixture,
                 "Bytes that were taken meanwhile are not the end") {
  pipeline->Add(1);
  const auto second = pipeline->Add(1);
  AwaitNext();
  RunAll();
  SendFromPeer("GET");
  pipeline->Remove(second);
  context.restart();
  while (!next) context.poll_one();
  buffer.consume(buffer.size());
  AwaitNext();
  RunAll();
  CHECK(pipeline->IsOpen());
  CHECK_FALSE(next);
  SendFromPeer("GET");
  RunAll();
  CHECK(next == true);
}

}  // namespace
}  // namespace kumquatmoor
