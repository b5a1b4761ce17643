#include "standins/standin_server.h"

#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>

namespace carawayrelay::tools {

std::string HeaderOf(const HttpRequest& request, const std::string& name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string QueryOf(const HttpRequest& request, const std::string& name) {
  const std::string query = "&" + request.query;
  const size_t start = query.find("&" + name + "=");
  if (start == std::string::npos) {
    return "";
  }
  const size_t value = start + name.size() + 2;
  return PercentDecode(query.substr(value, query.find('&', value) - value));
}

void ReplyJson(HttpExchange& exchange,
               int status,
               const nlohmann::json& body,
               HttpHeaders headers) {
  headers.emplace_back("Content-Type", "application/json");
  exchange.Respond(
      status, headers,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

Result<std::unique_ptr<StandinServer>> StandinServer::Make(
    const std::string& listen_address) {
  std::unique_ptr<StandinServer> server(new StandinServer());
  StandinServer* self = server.get();
  self->ring_.SetWake(
      [self] { asio::post(self->io_, [self] { self->Drain(); }); });
  HttpServer::Options options;
  options.listen_address = listen_address;
  BOOST_OUTCOME_TRY(
      self->http_, HttpServer::Make(options, [self](HttpRequest request,
                                                    HttpExchangePtr exchange) {
        HttpCall call{std::move(request), std::move(exchange)};
        if (!self->ring_.TryPush(call)) {
          ReplyJson(*call.exchange, 503, {{"error", "stand-in is overloaded"}});
        }
      }));
  return server;
}

StandinServer::~StandinServer() {
  if (http_) {
    http_->Stop();
  }
}

void StandinServer::Run(Handler handler) {
  handler_ = std::move(handler);
  asio::signal_set signals(io_, SIGTERM, SIGINT);
  signals.async_wait([this](const asio::error_code&, int) { io_.stop(); });
  Drain();
  io_.run();
  http_->Stop();
}

void StandinServer::After(Duration delay, std::function<void()> action) {
  if (delay <= Duration::zero()) {
    action();
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait(
      [timer, action = std::move(action)](const asio::error_code& error) {
        if (!error) {
          action();
        }
      });
}

void StandinServer::Drain() {
  while (std::optional<HttpCall> call = ring_.TryPop()) {
    handler_(std::move(*call));
  }
}

}  // namespace carawayrelay::tools
