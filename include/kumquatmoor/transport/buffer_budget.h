#ifndef KUMQUATMOOR_TRANSPORT_BUFFER_BUDGET_H_
#define KUMQUATMOOR_TRANSPORT_BUFFER_BUDGET_H_

// BufferBudget: bounds the bytes of callers and upstreams that a process holds
// in all of its connections together. A bound for each message is not enough:
// slow readers, or many faulty peers, multiply it.
//
//   auto budget = std::make_shared<BufferBudget>(64 << 20);
//   BufferShare share(budget);
//   share.Resize(head_bytes + body_bytes);
//   if (budget->IsScarce()) ...  // Refuse new work, hold no more than needed.
//   if (budget->IsSpent()) ...   // End what needs more.
//
// A share is what one message holds. It is returned when the message is gone,
// which may be after the owner of the budget is.
// Not thread-safe: all shares of a budget belong to one thread.

#include <cstddef>
#include <memory>
#include <utility>

namespace kumquatmoor {

class BufferBudget {
 public:
  explicit BufferBudget(size_t bytes) : m_bytes(bytes) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  size_t Used() const { return m_used; }
  // Three quarters are used. The rest is for what has begun.
  bool IsScarce() const { return m_used >= m_bytes - m_bytes / 4; }
  bool IsSpent() const { return m_used >= m_bytes; }

 private:
  friend class BufferShare;

  size_t m_bytes;
  size_t m_used = 0;
};

class BufferShare {
 public:
  // A share without a budget counts nothing.
  BufferShare() = default;
  explicit BufferShare(std::shared_ptr<BufferBudget> budget)
      : m_budget(std::move(budget)) {}
  BufferShare(BufferShare&& other) noexcept
      : m_budget(std::move(other.m_budget)),
        m_size(std::exchange(other.m_size, 0)) {}
  BufferShare& operator=(BufferShare&& other) noexcept {
    if (this == &other) return *this;
    Resize(0);
    m_budget = std::move(other.m_budget);
    m_size = std::exchange(other.m_size, 0);
    return *this;
  }
  ~BufferShare() { Resize(0); }

  // Sets the bytes that the message holds now.
  void Resize(size_t bytes) {
    if (m_budget == nullptr) return;
    m_budget->m_used = m_budget->m_used - m_size + bytes;
    m_size = bytes;
  }
  bool IsScarce() const { return m_budget != nullptr && m_budget->IsScarce(); }
  bool IsSpent() const { return m_budget != nullptr && m_budget->IsSpent(); }

 private:
  std::shared_ptr<BufferBudget> m_budget;
  size_t m_size = 0;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_BUFFER_BUDGET_H_
