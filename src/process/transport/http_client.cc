#include "process/transport/http_client.h"

#include <curl/curl.h>

#include <utility>
#include <variant>

#include "process/transport/curl_answer.h"
#include "process/transport/endpoint.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

constexpr std::string_view kScheme = "http://";

using CurlPtr = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderListPtr =
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

void InitCurl() {
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)initialised;
}

// A response while it arrives.
struct Reception {
  HttpResponse& response;
  size_t bytes_left;  // until the limit
  CurlAnswer answer{};
  // Why this client ended the call itself; empty if it did not.
  std::string abort_reason;

  // Counts `size` more bytes. Returns false when they exceed the limit.
  bool Take(size_t size) {
    if (size > bytes_left) {
      return false;
    }
    bytes_left -= size;
    return true;
  }
};

// Both callbacks return 0 to make libcurl end the call.
size_t AppendBody(char* data, size_t size, size_t count, void* user) {
  auto& reception = *static_cast<Reception*>(user);
  if (!reception.Take(size * count)) {
    return 0;
  }
  reception.response.body.append(data, size * count);
  return size * count;
}

size_t AppendHeader(char* data, size_t size, size_t count, void* user) {
  auto& reception = *static_cast<Reception*>(user);
  const std::string_view line(data, size * count);
  if (!reception.Take(line.size())) {
    return 0;
  }
  Result<HeadLine> read = reception.answer.AddHeaderLine(line);
  if (!read) {
    reception.abort_reason = std::move(read.error().message);
    return 0;
  }
  std::visit(Overloaded{
                 // What came before belongs to an interim answer.
                 [&](const StatusLine&) { reception.response.headers.clear(); },
                 [&](HttpField& field) {
                   reception.response.headers[std::move(field.name)] =
                       std::move(field.value);
                 },
                 [](const HeadEnd&) {},
                 [](const TrailerLine&) {},
             },
             read.value());
  return line.size();
}

}  // namespace

std::string HttpResponse::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string encoded;
  for (char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kDigits[byte >> 4]);
    encoded.push_back(kDigits[byte & 0xF]);
  }
  return encoded;
}

class HttpClient::Impl {
 public:
  Impl(Options options, CurlPtr curl)
      : options_(std::move(options)), curl_(std::move(curl)) {}

  Result<HttpResponse> Send(const HttpCall& call) {
    HttpResponse response;
    HeaderListPtr headers(nullptr, &curl_slist_free_all);
    // Removes the header, because waiting for "100 Continue" would add a round
    // trip to each large write.
    AddHeader(headers, "Expect:");
    for (const std::string& header : call.headers) {
      AddHeader(headers, header);
    }
    Reception reception{.response = response,
                        .bytes_left = options_.max_response_bytes};
    Prepare(call, headers.get(), reception);
    const CURLcode code = curl_easy_perform(curl_.get());
    if (code != CURLE_OK) {
      const std::string& refused = reception.abort_reason;
      return Error{WasSent() ? ErrorCode::kUnknown : ErrorCode::kUnavailable,
                   options_.base_url + ": " +
                       (refused.empty() ? curl_easy_strerror(code) : refused)};
    }
    if (const auto reason =
            reception.answer.IncompleteReason(curl_.get(), call.body.size())) {
      return Error{ErrorCode::kUnknown, options_.base_url + ": " + *reason};
    }
    long connects = 0;
    curl_easy_getinfo(curl_.get(), CURLINFO_NUM_CONNECTS, &connects);
    response.status = reception.answer.status();
    response.maybe_repeated = connects > 0 && has_connected_;
    has_connected_ = true;
    return response;
  }

 private:
  static void AddHeader(HeaderListPtr& headers, const std::string& header) {
    headers.reset(curl_slist_append(headers.release(), header.c_str()));
  }

  void Prepare(const HttpCall& call,
               curl_slist* headers,
               Reception& reception) {
    CURL* curl = curl_.get();
    // Resets the options only; open connections are kept.
    curl_easy_reset(curl);
    const std::string url = options_.base_url + call.target;
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTP_VERSION,
                     static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(options_.connect_timeout.count()));
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(options_.request_timeout.count()));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reception);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &AppendHeader);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &reception);
    if (call.method == "PUT" || call.method == "POST") {
      curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
      curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call.body.data());
    }
  }

  // Whether bytes of the request were sent. The error code does not show it:
  // when a reused connection breaks, libcurl opens another one, and the call
  // may then fail with "could not connect".
  bool WasSent() const {
    long request_bytes = 0;
    curl_easy_getinfo(curl_.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
    return request_bytes > 0;
  }

  Options options_;
  CurlPtr curl_;
  bool has_connected_ = false;
};

Result<std::unique_ptr<HttpClient>> HttpClient::Make(Options options) {
  while (options.base_url.ends_with('/')) {
    options.base_url.pop_back();
  }
  if (!options.base_url.starts_with(kScheme)) {
    return Error{ErrorCode::kInvalid,
                 "'" + options.base_url + "' is not http://IP:port"};
  }
  BOOST_OUTCOME_TRY(ParseEndpoint(options.base_url.substr(kScheme.size())));
  InitCurl();
  CurlPtr curl(curl_easy_init(), &curl_easy_cleanup);
  if (curl == nullptr) {
    return Error{ErrorCode::kInternal, "curl_easy_init failed"};
  }
  auto impl = std::make_unique<Impl>(std::move(options), std::move(curl));
  return std::unique_ptr<HttpClient>(new HttpClient(std::move(impl)));
}

HttpClient::HttpClient(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpClient::~HttpClient() = default;

Result<HttpResponse> HttpClient::Send(const HttpCall& call) {
  return impl_->Send(call);
}

}  // namespace carawayrelay
