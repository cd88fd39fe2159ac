#include "mosspath/net/http_client.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <asio/connect.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

#include "mosspath/net/timer.h"

namespace mosspath::net {

asio::ip::tcp::endpoint ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) throw std::invalid_argument("not ADDRESS:PORT: " + address);
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

namespace {

// A deadline timer that fires later than this after the deadline indicates a stall of the process.
constexpr double kLateTimerS = 0.2;

}  // namespace

// Carries one request at a time. Any error or timeout closes the connection.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpClient& owner)
      : owner_(&owner),
        socket_(owner.io_),
        timer_(owner.io_),
        max_answer_(owner.options_.max_answer),
        sockets_(owner.options_.sockets),
        connection_class_(owner.options_.connection_class) {}

  bool open() const { return open_; }

  void Run(Pending p) {
    pending_ = std::move(p);
    active_ = true;
    result_ = {};
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    complete_ = false;
    auto self = shared_from_this();
    timer_.After(pending_.deadline - Now(), [self] { self->OnDeadline(); });
    result_.sent = false;
    if (open_) {
      Write();
      return;
    }
    if (sockets_ && !sockets_->Acquire(connection_class_)) {
      timer_.After(0, [self] { self->Finish(false); });
      return;
    }
    counted_ = sockets_ != nullptr;
    socket_.async_connect(owner_->endpoint_, [self](const std::error_code& error) {
      if (!self->active_) return;
      if (error) return self->Finish(false);
      std::error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->open_ = true;
      self->Write();
    });
  }

  // Closes the connection and drops its request without calling the callback.
  void Abandon() {
    owner_ = nullptr;
    active_ = false;
    pending_ = {};
    Close();
  }

 private:
  // Fails the request. If the timer itself fired late, the process did not run for a while. The
  // response may then already be in the socket's buffer, so the request fails only after a short
  // delay in which the response can be read.
  void OnDeadline() {
    if (Now() - pending_.deadline < kLateTimerS) return Finish(false);
    timer_.After(kLateTimerS / 2, [self = shared_from_this()] { self->Finish(false); });
  }

  void Write() {
    auto self = shared_from_this();
    if (pending_.still_wanted && !pending_.still_wanted()) {
      // The callback must not run from within Send.
      timer_.After(0, [self] { self->Finish(false); });
      return;
    }
    result_.sent = true;
    asio::async_write(socket_, asio::buffer(pending_.text),
                      [self](const std::error_code& error, size_t) {
                        if (!self->active_) return;
                        if (error) return self->Finish(false);
                        self->Read();
                      });
  }

  void Read() {
    auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(buffer_), [self](const std::error_code& error, size_t n) {
      if (!self->active_) return;
      if (error) n = 0;
      const size_t used =
          http_parser_execute(&self->parser_, &Callbacks(), self->buffer_.data(), n);
      if (self->complete_) return self->Finish(true);
      if (error || used != n || self->result_.body.size() > self->max_answer_) {
        return self->Finish(false);
      }
      self->Read();
    });
  }

  static const http_parser_settings& Callbacks() {
    static const http_parser_settings kCallbacks = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_body = [](http_parser* p, const char* at, size_t n) {
        auto* c = static_cast<Connection*>(p->data);
        c->result_.body.append(at, n);
        return c->result_.body.size() > c->max_answer_ ? 1 : 0;
      };
      s.on_message_complete = [](http_parser* p) {
        auto* c = static_cast<Connection*>(p->data);
        c->result_.status = static_cast<int>(p->status_code);
        c->keep_alive_ = http_should_keep_alive(p) != 0;
        c->complete_ = true;
        http_parser_pause(p, 1);
        return 0;
      };
      return s;
    }();
    return kCallbacks;
  }

  void Finish(bool answered) {
    active_ = false;
    timer_.Cancel();
    if (!answered) {
      result_.status = 0;
      result_.too_large = result_.body.size() > max_answer_;
      result_.body.clear();
    }
    if (!answered || !keep_alive_) Close();
    // Releases the callbacks of the finished request. A callback may own the object that owns this
    // client; if the client kept the callback, neither would ever be destroyed.
    pending_.still_wanted = {};
    Callback done = std::move(pending_.done);
    HttpResult result = std::move(result_);
    auto self = shared_from_this();
    if (owner_ != nullptr) owner_->Released(self, open_);
    done(std::move(result));
  }

  void Close() {
    open_ = false;
    if (std::exchange(counted_, false)) sockets_->Release(connection_class_);
    std::error_code ignored;
    socket_.close(ignored);
    timer_.Cancel();
  }

  HttpClient* owner_;
  asio::ip::tcp::socket socket_;
  Timer timer_;
  size_t max_answer_;
  const std::shared_ptr<SocketBudget> sockets_;
  const ConnectionClass connection_class_;
  bool counted_ = false;  // whether the socket budget counts this connection
  Pending pending_;
  HttpResult result_;
  http_parser parser_{};
  std::array<char, 8192> buffer_{};
  bool open_ = false;
  bool active_ = false;
  bool keep_alive_ = false;
  bool complete_ = false;
};

HttpClient::HttpClient(asio::io_context& io, const std::string& address, Options options)
    : io_(io), endpoint_(ParseAddress(address)), host_(address), options_(std::move(options)) {}

HttpClient::~HttpClient() {
  CloseIdle();
  for (auto& c : busy_) c->Abandon();
}

void HttpClient::CloseIdle() {
  for (auto& c : idle_) c->Abandon();
  idle_.clear();
}

void HttpClient::Send(std::string method, std::string target, std::string body, double timeout_s,
                      Callback done, StillWanted still_wanted) {
  if (queue_.size() >= options_.max_queue) {
    asio::post(io_, [done = std::move(done)] { done(HttpResult{0, false, false, {}}); });
    return;
  }
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host_ + "\r\n";
  if (!body.empty() || method != "GET") {
    text +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n";
  text += body;
  queue_.push_back({std::move(text), Now() + timeout_s, std::move(done), std::move(still_wanted)});
  Pump();
}

void HttpClient::Pump() {
  while (!queue_.empty() && busy_.size() < options_.max_connections) {
    Pending p = std::move(queue_.front());
    queue_.pop_front();
    if (p.deadline <= Now()) {
      asio::post(io_, [done = std::move(p.done)] { done(HttpResult{0, false, false, {}}); });
      continue;
    }
    std::shared_ptr<Connection> c;
    if (!idle_.empty()) {
      c = std::move(idle_.back());
      idle_.pop_back();
    } else {
      c = std::make_shared<Connection>(*this);
    }
    busy_.push_back(c);
    c->Run(std::move(p));
  }
}

void HttpClient::Released(const std::shared_ptr<Connection>& c, bool reusable) {
  std::erase(busy_, c);
  if (reusable) {
    idle_.push_back(c);
  } else {
    // After a failure or a close by the server, the idle connections are probably unusable too.
    CloseIdle();
  }
  Pump();
}

}  // namespace mosspath::net
