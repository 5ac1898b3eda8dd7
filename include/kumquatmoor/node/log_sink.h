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
#include <spdlog/spdlog.h>

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
  static constexpr std::chrono::milliseconds kNoTimeout =
      std::chrono::hours(24);

  // Writes to `descriptor` and does not close it.
  explicit BufferedSink(int descriptor);
  ~BufferedSink() override;
  BufferedSink(const BufferedSink&) = delete;
  BufferedSink& operator=(const BufferedSink&) = delete;

  // Writes out the collected lines, for at most `timeout`, and ends the writer
  // thread. Lines that are logged later are lost. Called by one thread.
  void Finish(std::chrono::milliseconds timeout = kNoTimeout);

  // Writes a line to the descriptor ahead of the collected ones, from the
  // calling thread. Waits up to `timeout` for room in a full pipe, then returns
  // false.
  bool WriteAhead(const spdlog::details::log_msg& message,
                  std::chrono::milliseconds timeout);
  // The collected bytes that the writer thread has not taken yet.
  size_t CollectedBytes();

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
  std::atomic<bool> m_writes_ahead{false};  // WriteAhead waits for room.
  // After which nothing is written. Set before m_stopping.
  std::atomic<std::chrono::steady_clock::time_point> m_write_until{
      std::chrono::steady_clock::time_point::max()};
  std::thread m_thread;
};

// Logs a warning to the default logger by BufferedSink::WriteAhead, with the
// number of bytes that are collected. For a process whose writer thread may not
// get to write any more. May block if the descriptor is not a pipe of this
// process alone.
void LogAhead(const std::string& text, std::chrono::milliseconds timeout);

// Writes out what the default logger has collected, for at most `timeout`,
// before the process ends by std::_Exit. Other threads may go on logging.
void FinishLogging(
    std::chrono::milliseconds timeout = BufferedSink::kNoTimeout);

}  // namespace kumquatmoor

#endif  // KUMQUATMOOR_NODE_LOG_SINK_H_
