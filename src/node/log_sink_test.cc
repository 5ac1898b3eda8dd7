#include "kumquatmoor/node/log_sink.h"

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

namespace kumquatmoor {
namespace {

TEST_CASE("Every line arrives, in order, and whoever logs never waits") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  std::string received;
  std::thread reader;
  {
    auto sink = std::make_shared<BufferedSink>(ends[1]);
    spdlog::logger logger("test", sink);
    logger.set_pattern("%v");
    // Far more than the pipe holds, before anybody reads.
    const std::string padding(1'000, '.');
    for (int i = 0; i < 1'000; ++i) logger.info("{} {}", i, padding);
    reader = std::thread([&] {
      std::array<char, 65'536> chunk{};
      ssize_t size = 0;
      while ((size = read(ends[0], chunk.data(), chunk.size())) > 0) {
        received.append(chunk.data(), static_cast<size_t>(size));
      }
    });
  }
  close(ends[1]);
  reader.join();
  close(ends[0]);
  CHECK(received.rfind("0 ", 0) == 0);
  CHECK(received.find("\n999 ") != std::string::npos);
  CHECK(std::count(received.begin(), received.end(), '\n') == 1'000);
}

}  // namespace
}  // namespace kumquatmoor
