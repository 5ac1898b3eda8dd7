#include "kumquatmoor/transport/buffer_budget.h"

#include <catch2/catch.hpp>
#include <memory>
#include <utility>

namespace kumquatmoor {
namespace {

TEST_CASE("A budget counts what its shares hold") {
  const auto budget = std::make_shared<BufferBudget>(100);
  BufferShare one(budget);
  one.Resize(74);
  CHECK_FALSE(one.IsScarce());
  {
    BufferShare other(budget);
    other.Resize(10);
    CHECK(budget->Used() == 84);
    CHECK(one.IsScarce());
    CHECK_FALSE(one.IsSpent());
    other.Resize(26);
    CHECK(one.IsSpent());
  }
  CHECK(budget->Used() == 74);
  BufferShare moved(std::move(one));
  CHECK(budget->Used() == 74);
  moved = BufferShare(budget);
  CHECK(budget->Used() == 0);
}

TEST_CASE("A share outlives the owner of its budget, or has none") {
  auto budget = std::make_shared<BufferBudget>(1);
  BufferShare share(budget);
  budget.reset();
  share.Resize(2);
  CHECK(share.IsSpent());
  BufferShare without;
  without.Resize(1'000);
  CHECK_FALSE(without.IsScarce());
  CHECK_FALSE(without.IsSpent());
}

}  // namespace
}  // namespace kumquatmoor
