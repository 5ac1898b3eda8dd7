#include "kumquatmoor/state/http_routes.h"

#include <catch2/catch.hpp>
#include <map>

namespace kumquatmoor {
namespace {

void AddRoute(const char* name, const char* host, const char* prefix,
              Batch* batch) {
  HttpRoute* route = batch->add_routes();
  route->set_name(name);
  route->set_host(host);
  route->set_prefix(prefix);
  WeightedService* part = route->add_parts();
  part->set_service("s");
  part->set_weight(1);
}

// Guards against requests that run on dropped routes, by the name of a service
// in their path, once a configuration has lost its last route.
TEST_CASE("Routes by host stay in use without a route") {
  Batch batch;
  CHECK_FALSE(HttpRouteIndex(batch).IsInUse());
  batch.set_has_http_routes(true);
  CHECK(HttpRouteIndex(batch).IsInUse());
  CHECK(HttpRouteIndex(batch).Find("a.example", "/huts/") == nullptr);
}

TEST_CASE("The longest matching prefix of the host is chosen") {
  Batch batch;
  AddRoute("root", "a.example", "/", &batch);
  AddRoute("huts", "a.example", "/huts/", &batch);
  AddRoute("photos", "a.example", "/huts/photos/", &batch);
  AddRoute("other", "b.example", "/huts/", &batch);
  AddRoute("address", "[::1]", "/huts/", &batch);
  const HttpRouteIndex index(batch);
  struct Case {
    const char* host;
    const char* target;
    const char* route;  // "" for none.
  };
  const Case cases[] = {
      {"a.example", "/", "root"},
      {"a.example", "/huts", "root"},
      {"a.example", "/huts/", "huts"},
      {"a.example", "/huts/7", "huts"},
      {"a.example", "/hutsies/7", "root"},
      {"a.example", "/huts/photos/7?x=/", "photos"},
      {"a.example", "/other?p=/huts/photos/", "root"},
      {"A.EXAMPLE:8080", "/huts/7", "huts"},
      {"a.example.", "/huts/7", "huts"},
      {"A.EXAMPLE.:80", "/huts/7", "huts"},
      {"a.example..", "/huts/7", ""},
      {"[::1]", "/huts/7", "address"},
      {"[::1]:8080", "/huts/7", "address"},
      {"[::2]", "/huts/7", ""},
      {".", "/", ""},
      {"b.example", "/huts/7", "other"},
      {"b.example", "/", ""},
      {"c.example", "/huts/7", ""},
      {"a.example", "*", ""},
      {"", "/", ""},
  };
  for (const auto& c : cases) {
    INFO(c.host << c.target);
    const HttpRoute* route = index.Find(c.host, c.target);
    CHECK((route == nullptr ? "" : route->name()) == c.route);
  }
}

TEST_CASE("Services are drawn by weight") {
  HttpRoute route;
  for (const auto& [service, weight] :
       std::map<std::string, uint32_t>{{"a", 90}, {"b", 10}, {"c", 0}}) {
    WeightedService* part = route.add_parts();
    part->set_service(service);
    part->set_weight(weight);
  }
  std::mt19937_64 rng(1);
  std::map<std::string, int> drawn;
  for (int i = 0; i < 10'000; ++i) ++drawn[DrawService(route, rng)];
  CHECK(drawn["a"] == Approx(9'000).margin(150));
  CHECK(drawn["b"] == Approx(1'000).margin(150));
  CHECK(drawn["c"] == 0);
}

}  // namespace
}  // namespace kumquatmoor
