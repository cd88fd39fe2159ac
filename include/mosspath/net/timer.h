// Steady time in seconds, and timers whose destruction cancels their callbacks.
#pragma once

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace mosspath::net {

inline double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// A one-shot timer. Setting it again, cancelling it or destroying it cancels the pending callback.
class Timer {
 public:
  explicit Timer(asio::io_context& io) : timer_(io), generation_(std::make_shared<uint64_t>(0)) {}
  ~Timer() {
    if (generation_) ++*generation_;
  }
  Timer(Timer&&) = default;
  Timer& operator=(Timer&&) = delete;

  void After(double seconds, std::function<void()> f) {
    const uint64_t generation = ++*generation_;
    timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(std::max(0.0, seconds))));
    // Cancelling the asio timer does not stop an expiry that is already queued. If a response
    // arrived in the same iteration of the event loop, the queued expiry would end its request a
    // second time. The generation number makes such an outdated expiry do nothing.
    timer_.async_wait(
        [f = std::move(f), current = generation_, generation](const std::error_code& error) {
          if (!error && *current == generation) f();
        });
  }
  void Cancel() {
    ++*generation_;
    timer_.cancel();
  }

 private:
  asio::steady_timer timer_;
  std::shared_ptr<uint64_t> generation_;
};

}  // namespace mosspath::net
