#include "mosspath/net/http_server.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <cmath>
#include <utility>

#include "mosspath/net/http_client.h"

namespace mosspath::net {
namespace {

constexpr double kAcceptRetryS = 0.05;
constexpr double kLingerS = 1;
constexpr size_t kDefaultSockets = 512;

std::string Render(const HttpResponse& answer, bool keep_alive) {
  std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " " +
                     http_status_str(static_cast<http_status>(answer.status)) +
                     "\r\nContent-Type: " + answer.content_type +
                     "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n";
  if (answer.retry_after_s > 0) {
    text += "Retry-After: " + std::to_string(static_cast<int>(std::ceil(answer.retry_after_s))) +
            "\r\n";
  }
  if (!keep_alive) text += "Connection: close\r\n";
  text += "\r\n";
  text += answer.body;
  return text;
}

}  // namespace

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& owner, asio::ip::tcp::socket socket)
      : owner_(&owner),
        socket_(std::move(socket)),
        timer_(owner.io_),
        options_(owner.options_),
        connection_class_(options_.connection_class) {
    std::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  }

  void Start() { NextRequest(); }

  void Abandon() {
    owner_ = nullptr;
    Close();
  }

 private:
  void NextRequest() {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    request_ = {};
    url_.clear();
    request_bytes_ = 0;
    complete_ = false;
    error_status_ = 0;
    request_started_ = false;
    auto self = shared_from_this();
    timer_.After(idle_s_ > 0 ? idle_s_ : options_.idle_s, [self] { self->Close(); });
    if (buffer_begin_ < buffer_end_) {
      Parse();
    } else {
      Read();
    }
  }

  void Read() {
    auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(buffer_), [self](const std::error_code& error, size_t n) {
      if (error) return self->Close();
      self->buffer_begin_ = 0;
      self->buffer_end_ = n;
      self->Parse();
    });
  }

  void Parse() {
    auto self = shared_from_this();
    if (!request_started_) {
      request_started_ = true;
      timer_.After(options_.request_s, [self] { self->Close(); });
    }
    const size_t n = buffer_end_ - buffer_begin_;
    const size_t used =
        http_parser_execute(&parser_, &Callbacks(), buffer_.data() + buffer_begin_, n);
    buffer_begin_ += used;
    if (!complete_) request_bytes_ += used;
    if (error_status_ != 0) return Refuse(error_status_);
    if (complete_) return Dispatch();
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || used != n || parser_.upgrade) return Refuse(400);
    if (request_bytes_ > options_.max_head + options_.max_body) return Refuse(413);
    Read();
  }

  static const http_parser_settings& Callbacks() {
    static const http_parser_settings kCallbacks = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_url = [](http_parser* p, const char* at, size_t n) {
        auto* c = static_cast<Connection*>(p->data);
        c->url_.append(at, n);
        return c->Fail(c->url_.size() > c->options_.max_head, 414);
      };
      s.on_headers_complete = [](http_parser* p) {
        auto* c = static_cast<Connection*>(p->data);
        const bool has_length = p->content_length != ULLONG_MAX;
        return c->Fail(has_length && p->content_length > c->options_.max_body, 413);
      };
      s.on_body = [](http_parser* p, const char* at, size_t n) {
        auto* c = static_cast<Connection*>(p->data);
        c->request_.body.append(at, n);
        return c->Fail(c->request_.body.size() > c->options_.max_body, 413);
      };
      s.on_message_complete = [](http_parser* p) {
        auto* c = static_cast<Connection*>(p->data);
        c->complete_ = true;
        c->keep_alive_ = http_should_keep_alive(p) != 0;
        http_parser_pause(p, 1);
        return 0;
      };
      return s;
    }();
    return kCallbacks;
  }

  int Fail(bool failed, int status) {
    if (failed) error_status_ = status;
    return failed ? 1 : 0;
  }

  void Refuse(int status) {
    keep_alive_ = false;
    refused_ = true;
    Answer({status, "{\"error\":\"bad request\"}"});
  }

  void Dispatch() {
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    const size_t query_start = url_.find('?');
    request_.path = url_.substr(0, query_start);
    if (query_start != std::string::npos) request_.query = url_.substr(query_start + 1);
    timer_.Cancel();
    if (owner_ == nullptr) return;
    std::weak_ptr<Connection> weak = weak_from_this();
    owner_->handler_(std::move(request_), [weak](HttpResponse answer) {
      if (auto self = weak.lock()) self->Answer(std::move(answer));
    });
  }

  void Answer(HttpResponse answer) {
    if (closed_) return;
    if (answer.connection_class != ConnectionClass::kUnidentified) {
      options_.sockets->Reclassify(connection_class_, answer.connection_class);
      connection_class_ = answer.connection_class;
    }
    idle_s_ = answer.idle_s;
    if (answer.close || !options_.sockets->MayKeepAlive(connection_class_)) keep_alive_ = false;
    response_text_ = Render(answer, keep_alive_);
    auto self = shared_from_this();
    timer_.After(options_.request_s, [self] { self->Close(); });
    asio::async_write(socket_, asio::buffer(response_text_),
                      [self](const std::error_code& error, size_t) {
                        if (!error && self->refused_) return self->Linger();
                        if (error || !self->keep_alive_) return self->Close();
                        self->NextRequest();
                      });
  }

  // Discards input for a short time before the socket closes. The rest of a refused request may
  // still be arriving. Closing the socket at once would then reset the connection, and the client
  // would lose the response.
  void Linger() {
    auto self = shared_from_this();
    std::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    timer_.After(kLingerS, [self] { self->Close(); });
    Discard();
  }

  void Discard() {
    auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(buffer_), [self](const std::error_code& error, size_t) {
      if (error) return self->Close();
      if (!self->closed_) self->Discard();
    });
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    std::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    timer_.Cancel();
    options_.sockets->Release(connection_class_);
    auto self = shared_from_this();
    if (owner_ != nullptr) owner_->connections_.erase(self);
  }

  HttpServer* owner_;
  asio::ip::tcp::socket socket_;
  Timer timer_;
  const Options options_;
  ConnectionClass connection_class_;
  double idle_s_ = 0;
  http_parser parser_{};
  std::array<char, 4096> buffer_{};
  size_t buffer_begin_ = 0;
  size_t buffer_end_ = 0;
  size_t request_bytes_ = 0;
  std::string url_;
  HttpRequest request_;
  std::string response_text_;
  int error_status_ = 0;
  bool request_started_ = false;
  bool complete_ = false;
  bool keep_alive_ = false;
  bool refused_ = false;
  bool closed_ = false;
};

HttpServer::HttpServer(asio::io_context& io, const std::string& address, Options options,
                       Handler handler)
    : io_(io),
      options_(std::move(options)),
      handler_(std::move(handler)),
      acceptor_(io, ParseAddress(address)),
      accept_pause_(io) {
  if (!options_.sockets) options_.sockets = std::make_shared<SocketBudget>(kDefaultSockets);
  Accept();
}

HttpServer::~HttpServer() {
  auto connections = std::move(connections_);
  for (const auto& c : connections) c->Abandon();
}

unsigned short HttpServer::port() const { return acceptor_.local_endpoint().port(); }

void HttpServer::Accept() {
  acceptor_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {  // the usual cause: no free file descriptors; retries shortly
      accept_pause_.After(kAcceptRetryS, [this] { Accept(); });
      return;
    }
    if (options_.sockets->Acquire(options_.connection_class)) {
      auto c = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(c);
      c->Start();
    }
    Accept();
  });
}

}  // namespace mosspath::net
