#include "kumquatmoor/node/log_sink.h"

#include <limits.h>
#include <poll.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace kumquatmoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Bounds the time for which the destructor waits for a pipe's reader.
constexpr int kPollTimeoutMs = 100;
// Interval at which the writer thread checks whether it may write again.
constexpr milliseconds kYieldInterval{1};

}  // namespace

BufferedSink::BufferedSink(int descriptor)
    : m_descriptor(descriptor), m_thread([this] { WriteLoop(); }) {}

BufferedSink::~BufferedSink() { Finish(); }

void BufferedSink::Finish(milliseconds timeout) {
  if (!m_thread.joinable()) return;
  m_write_until = steady_clock::now() + timeout;
  m_stopping = true;
  m_thread.join();
  WriteOut(TakeBuffer());
}

void BufferedSink::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (m_buffer.size() + line.size() > kMaxBufferedBytes) {
    ++m_dropped;
    return;
  }
  m_buffer.append(line.data(), line.size());
}

bool BufferedSink::WriteAhead(const spdlog::details::log_msg& message,
                              milliseconds timeout) {
  spdlog::memory_buf_t line;
  // The writer thread may have written a part of a line.
  line.push_back('\n');
  {
    const std::lock_guard lock(mutex_);
    formatter_->format(message, line);
  }
  m_writes_ahead = true;
  pollfd ready{.fd = m_descriptor, .events = POLLOUT, .revents = 0};
  const int events = poll(&ready, 1, static_cast<int>(timeout.count()));
  const size_t size = std::min<size_t>(line.size(), PIPE_BUF);
  const bool written = events > 0 && write(m_descriptor, line.data(), size) > 0;
  m_writes_ahead = false;
  return written;
}

size_t BufferedSink::CollectedBytes() {
  const std::lock_guard lock(mutex_);
  return m_buffer.size();
}

std::string BufferedSink::TakeBuffer() {
  const std::lock_guard lock(mutex_);
  if (m_dropped > 0) {
    m_buffer += "log: event=dropped lines=" + std::to_string(m_dropped) + "\n";
    m_dropped = 0;
  }
  return std::exchange(m_buffer, {});
}

void BufferedSink::WriteLoop() {
  while (!m_stopping) {
    std::this_thread::sleep_for(kWriteInterval);
    WriteOut(TakeBuffer());
  }
}

// Waits while the descriptor is a full pipe, and discards the rest of the text
// if the sink is destroyed before the pipe has room, or its timeout has passed.
void BufferedSink::WriteOut(const std::string& text) const {
  size_t written = 0;
  while (written < text.size()) {
    if (m_stopping && steady_clock::now() >= m_write_until.load()) return;
    if (m_writes_ahead) {
      std::this_thread::sleep_for(kYieldInterval);
      continue;
    }
    pollfd ready{.fd = m_descriptor, .events = POLLOUT, .revents = 0};
    const int events = poll(&ready, 1, kPollTimeoutMs);
    if (events == 0 && m_stopping) return;
    if (events == 0) continue;
    // A pipe that is ready has room for PIPE_BUF bytes: this does not block.
    const size_t part = std::min<size_t>(text.size() - written, PIPE_BUF);
    const ssize_t size = write(m_descriptor, text.data() + written, part);
    if (size <= 0) return;  // An error: the reader is gone.
    written += static_cast<size_t>(size);
  }
}

void LogAhead(const std::string& text, milliseconds timeout) {
  const auto logger = spdlog::default_logger();
  for (const auto& sink : logger->sinks()) {
    auto* buffered = dynamic_cast<BufferedSink*>(sink.get());
    if (buffered == nullptr) continue;
    const std::string line =
        fmt::format("{} log_bytes={}", text, buffered->CollectedBytes());
    buffered->WriteAhead({logger->name(), spdlog::level::warn, line}, timeout);
  }
}

// spdlog::shutdown would destroy the logger, which other threads still use.
void FinishLogging(milliseconds timeout) {
  for (const auto& sink : spdlog::default_logger()->sinks()) {
    auto* buffered = dynamic_cast<BufferedSink*>(sink.get());
    if (buffered != nullptr) buffered->Finish(timeout);
  }
}

}  // namespace kumquatmoor
