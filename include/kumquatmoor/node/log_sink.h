#ifndef KUMQUATMOOR_NODE_LOG_SINK_H_
#define KUMQUATMOOR_NODE_LOG_SINK_H_

// BufferedSink: a spdlog sink that collects lines in memory and writes them
// from a thread of its own.
//
//   auto logger = std::make_shared<spdlog::logger>(
//       "node", std::make_shared<BufferedSink>(STDERR_FILENO));
//
// A thread that logs never blocks on the file descriptor. It does not wake the
// writer thread either, which a queue with an entry per line would do. Lines
// that would exceed kMaxBufferedBytes are dropped; a later line reports their
// number. Thread-safe.

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>

namespace kumquatmoor {

class BufferedSink final : public spdlog::sinks::base_sink<std::mutex> {
 public:
  static constexpr size_t kMaxBufferedBytes = 4U << 20U;
  static constexpr std::chrono::milliseconds kWriteInterval{20};

  // Writes to `descriptor` and does not close it.
  explicit BufferedSink(int descriptor);
  ~BufferedSink() override;
  BufferedSink(const BufferedSink&) = delete;
  BufferedSink& operator=(const BufferedSink&) = delete;

  // Writes all lines before the process ends. Later lines are not written, but
  // other threads may still log. Call it at most once.
  void Finish();

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  void WriteLoop();
  void WriteOut(const std::string& text) const;
  std::string TakeBuffer();

  int m_descriptor;
  std::string m_buffer;
  size_t m_dropped = 0;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_LOG_SINK_H_
