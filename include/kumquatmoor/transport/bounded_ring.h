#ifndef KUMQUATMOOR_TRANSPORT_BOUNDED_RING_H_
#define KUMQUATMOOR_TRANSPORT_BOUNDED_RING_H_

// BoundedRing: joins threads that each have one duty.
//
//   BoundedRing<Command> ring(1024);
//   if (!ring.TryPush(command)) return Busy();
//   while (auto command = ring.TryPop()) Run(*command);
//
// Any number of producers and consumers. A full ring refuses: what cannot be
// queued is the producer's to answer for. Thread-safe.

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace kumquatmoor {

template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(size_t capacity) : m_items(capacity) {}

  // False if the ring is full; `item` is then untouched.
  bool TryPush(T&& item) {
    {
      const std::lock_guard lock(m_mutex);
      if (m_items.full()) return false;
      m_items.push_back(std::move(item));
    }
    m_filled.notify_one();
    return true;
  }

  std::optional<T> TryPop() {
    const std::lock_guard lock(m_mutex);
    return PopLocked();
  }

  // Waits up to `wait` for an item.
  std::optional<T> PopFor(std::chrono::milliseconds wait) {
    std::unique_lock lock(m_mutex);
    m_filled.wait_for(lock, wait, [&] { return !m_items.empty(); });
    return PopLocked();
  }

 private:
  std::optional<T> PopLocked() {
    if (m_items.empty()) return std::nullopt;
    std::optional<T> item(std::move(m_items.front()));
    m_items.pop_front();
    return item;
  }

  std::mutex m_mutex;
  std::condition_variable m_filled;
  boost::circular_buffer<T> m_items;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_BOUNDED_RING_H_
