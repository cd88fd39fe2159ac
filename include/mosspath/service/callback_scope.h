// Ties callbacks to the lifetime of their owner: once the scope is closed or destroyed, a guarded
// callback does nothing. Not thread-safe: for callbacks of one event loop.
#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace mosspath::service {

class CallbackScope {
 public:
  CallbackScope() = default;
  CallbackScope(const CallbackScope&) = delete;
  CallbackScope& operator=(const CallbackScope&) = delete;

  // Returns a callable that forwards its arguments to `callback` while the scope is open and drops
  // the call afterwards. The callable may outlive the scope.
  template <typename Callback>
  [[nodiscard]] auto Guard(Callback callback) const {
    return [open = std::weak_ptr<const Token>(token_),
            callback = std::move(callback)](auto&&... arguments) mutable {
      if (open.expired()) return;
      std::invoke(callback, std::forward<decltype(arguments)>(arguments)...);
    };
  }

  // Returns a predicate that evaluates `condition` while the scope is open and is false afterwards.
  template <typename Condition>
  [[nodiscard]] auto GuardCondition(Condition condition) const {
    return [open = std::weak_ptr<const Token>(token_), condition = std::move(condition)] {
      return !open.expired() && condition();
    };
  }

  // Disables all callbacks that were guarded so far.
  void Close() { token_.reset(); }
  [[nodiscard]] bool closed() const { return token_ == nullptr; }

 private:
  struct Token {};
  std::shared_ptr<const Token> token_ = std::make_shared<const Token>();
};

}  // namespace mosspath::service
