// The main function of every test program. Disables logging.

#define CATCH_CONFIG_RUNNER
#include <spdlog/spdlog.h>

#include <catch2/catch.hpp>

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  return Catch::Session().run(argc, argv);
}
