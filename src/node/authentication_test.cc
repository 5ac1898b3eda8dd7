// Requests of callers where the configuration has organisations, from raw bytes
// to the head that the backend server reads.

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "node/denial_fixture.h"

namespace kumquatmoor {
namespace {

const DenialOptions kWithKeys{.keys = {{"alpine", "k-1"}, {"coast", "k-2"}}};

std::string Get(const std::string& target, const std::string& fields) {
  return Head("GET " + target + " HTTP/1.1", fields) + "\r\n";
}

// Guards against a backend server that reads a key, or another organisation
// than that of the key, on either of the two paths to it.
TEST_CASE_METHOD(
    DenialFixture,
    "A backend server reads the caller's organisation and no key") {
  Configure(2, kWithKeys);
  struct Case {
    const char* target;
    const char* fields;
    unsigned status;
    const char* organisation;  // "" if the header must be absent.
  };
  const Case cases[] = {
      {"/a/1", "Auth: Token k-1\r\n", 200, "alpine"},
      {"/a/1", "auth: token k-2\r\nOrg: alpine\r\norg: x\r\n", 200, "coast"},
      {"/a/1", "Auth: Token k-3\r\n", 401, ""},
      {"/a/1", "", 401, ""},
      {"/a/1", "Auth: Token k-1\r\nAuth: Token k-2\r\n", 401, ""},
      {"/p/1", "", 200, ""},
      {"/p/1", "Org: alpine\r\n", 200, ""},
      {"/p/1", "Auth: Token k-3\r\n", 200, ""},
      {"/p/1", "Auth: Token k-1\r\nAuth: Token k-3\r\n", 200, ""},
      {"/p/1", "Auth: Token k-2\r\n", 200, "coast"},
      {"/b/1", "Auth: Token k-1\r\n", 404, ""},
  };
  for (const uint16_t port : {kCallerPort, kRemoteCallerPort}) {
    for (const auto& c : cases) {
      INFO(port << " " << c.target << " " << c.fields);
      RawCaller caller(port);
      caller.Send({Get(c.target, c.fields)});
      CHECK(caller.Status() == c.status);
      if (c.status != 200) continue;
      const auto head = LastHead();
      CHECK(head.count("Auth") == 0);
      CHECK(head.count(headers::kOrganisation) == 0);
      CHECK(std::string(head["Org"]) == c.organisation);
      CHECK(head.count("Org") == (*c.organisation == '\0' ? 0 : 1));
    }
  }
}

// Guards against a change for deployments that have no organisations.
TEST_CASE_METHOD(DenialFixture, "Without organisations keys are passed on") {
  for (const uint16_t port : {kCallerPort, kRemoteCallerPort}) {
    RawCaller caller(port);
    caller.Send({Get("/a/1", "Auth: Token k-3\r\n")});
    CHECK(caller.Status() == 200);
    CHECK(LastHead()["Auth"] == "Token k-3");
  }
}

// Guards against keys that stay in force, or unknown, on an open connection.
TEST_CASE_METHOD(DenialFixture,
                 "Keys of a new batch hold on open connections") {
  Configure(2, kWithKeys);
  RawCaller caller;
  const auto status_of = [&](const char* key) {
    caller.Send({Get("/a/1", std::string("Auth: Token ") + key + "\r\n")});
    return caller.Status();
  };
  CHECK(status_of("k-1") == 200);
  CHECK(status_of("k-4") == 401);
  Configure(3, {.keys = {{"alpine", "k-4"}}});
  Metrics();
  CHECK(status_of("k-1") == 401);
  CHECK(status_of("k-4") == 200);
  // A node that is behind does not know whether a key is new.
  SetBehind(true);
  Metrics();
  CHECK(status_of("k-5") == 503);
  CHECK(status_of("k-4") == 200);
}

// Guards against a revoked key that a node without news of the store accepts,
// and against a 401 for a key that it does not know yet.
TEST_CASE_METHOD(DenialFixture, "Keys need a configuration that is confirmed") {
  Configure(2, kWithKeys);
  RawCaller caller;
  const auto status_of = [&](const char* target, const char* key) {
    caller.Send({Get(target, std::string("Auth: Token ") + key + "\r\n")});
    return caller.Status();
  };
  Confirm(std::chrono::milliseconds(3'500));
  Metrics();
  CHECK(status_of("/a/1", "k-1") == 200);
  CHECK(status_of("/a/1", "k-3") == 401);
  Confirm(std::chrono::milliseconds(4'600));
  Metrics();
  CHECK(status_of("/a/1", "k-1") == 503);
  CHECK(status_of("/a/1", "k-3") == 503);
  CHECK(status_of("/p/1", "k-1") == 200);
  CHECK(LastHead().count("Org") == 0);
  CHECK(status_of("/b/1", "k-1") == 404);
  CHECK(Metrics().find("refused_unconfirmed_total 2") != std::string::npos);
  Confirm(std::chrono::milliseconds(100));
  Metrics();
  CHECK(status_of("/a/1", "k-1") == 200);
}

// Guards against calls of backend servers that are denied, and against callers
// that pass for backend servers by the id of a request that has ended.
TEST_CASE_METHOD(DenialFixture, "A call needs no key while its parent runs") {
  Configure(2, kWithKeys);
  const auto text = [](const std::string& id, const std::string& fields) {
    return "GET /a/1 HTTP/1.1\r\nHost: huts.example\r\nLeft: 2000\r\nId: " +
           id + "\r\n" + fields + "\r\n";
  };
  holds = true;
  RawCaller caller;
  caller.Send({text("held", "Auth: Token k-1\r\n")});
  while (LastHead()["Id"] != "held") std::this_thread::yield();
  RawCaller call;
  call.Send({text("held.1", "")});
  CHECK(call.Status() == 200);
  CHECK(LastHead().count("Org") == 0);
  call.Send({text("held.2", "Auth: Token k-3\r\n")});
  CHECK(call.Status() == 401);
  holds = false;
  CHECK(caller.Status() == 200);
  // The node has just started: the parent may have begun before.
  call.Send({text("held.3", "")});
  CHECK(call.Status() == 503);
}

// Guards against keys in the log or the metrics.
TEST_CASE_METHOD(DenialFixture, "No log line and no metric has a key") {
  std::ostringstream log;
  const auto earlier = spdlog::default_logger();
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
      "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(log)));
  spdlog::set_level(spdlog::level::debug);
  Configure(2, kWithKeys);
  RawCaller caller;
  for (const char* fields :
       {"Auth: Token k-1\r\n", "Auth: Token k-3\r\n", "Auth: k-3\r\n"}) {
    caller.Send({Get("/a/1", fields)});
    caller.Status();
  }
  RawCaller(kCallerPort)
      .Send({Get("/a/1", "Auth: Token k-3\r\nAuth:\x01\r\n")});
  const std::string metrics = Metrics();
  spdlog::set_default_logger(earlier);
  CHECK(log.str().find("status=401") != std::string::npos);
  CHECK(log.str().find("k-") == std::string::npos);
  CHECK(metrics.find("k-") == std::string::npos);
  CHECK(metrics.find("authentications_total{outcome=\"unknown_key\"} 2") !=
        std::string::npos);
  CHECK(metrics.find("kumquatmoor_denied_total{status=\"401\","
                     "origin=\"node\"} 2") != std::string::npos);
}

}  // namespace
}  // namespace kumquatmoor
