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

constexpr double kAcceptPauseS = 0.05;
constexpr double kLingerS = 1;
constexpr size_t kOwnSockets = 512;

std::string Render(const HttpResponse& answer, bool keep) {
  std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " " +
                     http_status_str(static_cast<http_status>(answer.status)) +
                     "\r\nContent-Type: " + answer.content_type +
                     "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n";
  if (answer.retry_after_s > 0) {
    text += "Retry-After: " + std::to_string(static_cast<int>(std::ceil(answer.retry_after_s))) +
            "\r\n";
  }
  if (!keep) text += "Connection: close\r\n";
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
        party_(options_.connection_class) {
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
    head_ = 0;
    complete_ = false;
    error_status_ = 0;
    begun_ = false;
    auto self = shared_from_this();
    timer_.After(idle_s_ > 0 ? idle_s_ : options_.idle_s, [self] { self->Close(); });
    if (begin_ < end_) {
      Parse();
    } else {
      Read();
    }
  }

  void Read() {
    auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(buffer_), [self](const std::error_code& error, size_t n) {
      if (error) return self->Close();
      self->begin_ = 0;
      self->end_ = n;
      self->Parse();
    });
  }

  void Parse() {
    auto self = shared_from_this();
    if (!begun_) {
      begun_ = true;
      timer_.After(options_.request_s, [self] { self->Close(); });
    }
    const size_t n = end_ - begin_;
    const size_t used = http_parser_execute(&parser_, &Callbacks(), buffer_.data() + begin_, n);
    begin_ += used;
    if (!complete_) head_ += used;
    if (error_status_ != 0) return Refuse(error_status_);
    if (complete_) return Dispatch();
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || used != n || parser_.upgrade) return Refuse(400);
    if (head_ > options_.max_head + options_.max_body) return Refuse(413);
    Read();
  }

  static const http_parser_settings& Callbacks() {
    static const http_parser_settings callbacks = [] {
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
        c->keep_ = http_should_keep_alive(p) != 0;
        http_parser_pause(p, 1);
        return 0;
      };
      return s;
    }();
    return callbacks;
  }

  int Fail(bool failed, int status) {
    if (failed) error_status_ = status;
    return failed ? 1 : 0;
  }

  void Refuse(int status) {
    keep_ = false;
    refused_ = true;
    Answer({status, "{\"error\":\"bad request\"}"});
  }

  void Dispatch() {
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    const size_t mark = url_.find('?');
    request_.path = url_.substr(0, mark);
    if (mark != std::string::npos) request_.query = url_.substr(mark + 1);
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
      options_.sockets->Reclassify(party_, answer.connection_class);
      party_ = answer.connection_class;
    }
    idle_s_ = answer.idle_s;
    if (answer.close || !options_.sockets->MayKeepAlive(party_)) keep_ = false;
    out_ = Render(answer, keep_);
    auto self = shared_from_this();
    timer_.After(options_.request_s, [self] { self->Close(); });
    asio::async_write(socket_, asio::buffer(out_), [self](const std::error_code& error, size_t) {
      if (!error && self->refused_) return self->Linger();
      if (error || !self->keep_) return self->Close();
      self->NextRequest();
    });
  }

  // What was refused may still be arriving: closing now would reset the connection and take the
  // answer with it.
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
    options_.sockets->Release(party_);
    auto self = shared_from_this();
    if (owner_ != nullptr) owner_->connections_.erase(self);
  }

  HttpServer* owner_;
  asio::ip::tcp::socket socket_;
  Timer timer_;
  const Options options_;
  ConnectionClass party_;
  double idle_s_ = 0;
  http_parser parser_{};
  std::array<char, 4096> buffer_{};
  size_t begin_ = 0;
  size_t end_ = 0;
  size_t head_ = 0;
  std::string url_;
  HttpRequest request_;
  std::string out_;
  int error_status_ = 0;
  bool begun_ = false;
  bool complete_ = false;
  bool keep_ = false;
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
  if (!options_.sockets) options_.sockets = std::make_shared<SocketBudget>(kOwnSockets);
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
    if (error) {  // no sockets left, mostly: try again shortly
      accept_pause_.After(kAcceptPauseS, [this] { Accept(); });
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
