#ifndef KUMQUATMOOR_TRANSPORT_BOUNDED_RING_H_
#define KUMQUATMOOR_TRANSPORT_BOUNDED_RING_H_

// BoundedRing is a bounded FIFO queue between threads, for any number of
// producers and consumers. It is a ring buffer guarded by a mutex.
//
//   BoundedRing<Command> ring(1024);
//   if (!ring.TryPush(std::move(command))) return Busy();
//   while (auto command = ring.TryPop()) Run(*command);
//
// The ring applies back-pressure: it never blocks a producer nor overwrites an
// item. If it is full, TryPush fails and the producer has to handle the
// overload. Thread-safe.

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

  // Appends `item`. Returns false if the ring is full; `item` is then
  // unchanged.
  bool TryPush(T&& item) {
    {
      const std::lock_guard lock(m_mutex);
      if (m_items.full()) return false;
      m_items.push_back(std::move(item));
    }
    m_not_empty.notify_one();
    return true;
  }

  // Removes the oldest item. Returns nullopt if the ring is empty.
  std::optional<T> TryPop() {
    const std::lock_guard lock(m_mutex);
    return PopLocked();
  }

  // Like TryPop, but waits up to `wait` for an item if the ring is empty.
  std::optional<T> PopFor(std::chrono::milliseconds wait) {
    std::unique_lock lock(m_mutex);
    m_not_empty.wait_for(lock, wait, [&] { return !m_items.empty(); });
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
  std::condition_variable m_not_empty;
  boost::circular_buffer<T> m_items;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_TRANSPORT_BOUNDED_RING_H_
