#include "acme/http.hpp"

#include <curl/curl.h>
#include <dlfcn.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <string_view>
#include <utility>

#include "acme/problem.hpp"

namespace quartzarch::acme {
namespace {

constexpr std::size_t kMaxBodySize = 1024 * 1024;
constexpr std::size_t kMaxAlternates = 8;

// The libcurl functions in use, looked up with dlsym.
struct CurlFunctions {
  decltype(&::curl_global_init) global_init;
  decltype(&::curl_easy_init) easy_init;
  decltype(&::curl_easy_cleanup) easy_cleanup;
  decltype(&::curl_easy_reset) easy_reset;
  decltype(&::curl_easy_setopt) setopt;
  decltype(&::curl_easy_getinfo) getinfo;
  decltype(&::curl_easy_perform) perform;
  decltype(&::curl_easy_strerror) strerror;
  decltype(&::curl_slist_append) slist_append;
  decltype(&::curl_slist_free_all) slist_free_all;

  CurlFunctions() {
    void* const library = ::dlopen("libcurl.so.4", RTLD_NOW | RTLD_LOCAL);
    if (!library) throw HttpError(std::string("libcurl cannot be loaded: ") + ::dlerror());
    const auto load_function = [library](auto& function, const char* name) {
      function = reinterpret_cast<std::remove_reference_t<decltype(function)>>(::dlsym(library, name));
      if (!function) throw HttpError(std::string("libcurl does not have ") + name);
    };
    load_function(global_init, "curl_global_init");
    load_function(easy_init, "curl_easy_init");
    load_function(easy_cleanup, "curl_easy_cleanup");
    load_function(easy_reset, "curl_easy_reset");
    load_function(setopt, "curl_easy_setopt");
    load_function(getinfo, "curl_easy_getinfo");
    load_function(perform, "curl_easy_perform");
    load_function(strerror, "curl_easy_strerror");
    load_function(slist_append, "curl_slist_append");
    load_function(slist_free_all, "curl_slist_free_all");
    if (global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) throw HttpError("libcurl could not be initialized");
  }
};

// Loads the library on the first call; it stays loaded until the process ends.
const CurlFunctions& curl() {
  static const CurlFunctions loaded;
  return loaded;
}

// Returning less than the size given makes libcurl abort the request.
std::size_t append_body(char* data, std::size_t size, std::size_t count, void* to) {
  auto& body = static_cast<Response*>(to)->body;
  if (body.size() + size * count > kMaxBodySize) return 0;
  body.append(data, size * count);
  return size * count;
}

// Parses a Link header such as <https://...>;rel="alternate".
void parse_link(std::string_view value, Response& response) {
  const auto open = value.find('<'), close = value.find('>');
  if (open == std::string_view::npos || close == std::string_view::npos || close < open) return;
  const std::string_view rest = value.substr(close);
  const bool alternate = rest.find("rel=\"alternate\"") != std::string_view::npos ||
                         rest.find("rel=alternate") != std::string_view::npos;
  if (alternate && response.alternates.size() < kMaxAlternates) {
    response.alternates.emplace_back(value.substr(open + 1, close - open - 1));
  }
}

std::size_t parse_header(char* data, std::size_t size, std::size_t count, void* to) {
  auto& response = *static_cast<Response*>(to);
  const std::string_view line(data, size * count);
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return size * count;
  std::string name(line.substr(0, colon));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && std::isspace(static_cast<unsigned char>(value.front()))) value.remove_prefix(1);
  while (!value.empty() && std::isspace(static_cast<unsigned char>(value.back()))) value.remove_suffix(1);
  if (name == "replay-nonce") response.nonce = value;
  if (name == "location") response.location = value;
  if (name == "retry-after") response.retry_after = value;
  if (name == "date") response.date = parse_http_date(value);
  if (name == "link") parse_link(value, response);
  return size * count;
}

int abort_if_stopped(void* stopped, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  return (*static_cast<std::function<bool()>*>(stopped))() ? 1 : 0;
}

}  // namespace

Http::Http(std::string ca_file, std::chrono::milliseconds timeout, std::function<bool()> stopped)
    : ca_file_(std::move(ca_file)),
      timeout_(timeout),
      stopped_(std::move(stopped)),
      curl_(curl().easy_init()) {
  if (!curl_) throw HttpError("libcurl could not be initialized");
}

Http::~Http() { curl().easy_cleanup(curl_); }

Response Http::perform(const std::string& url) {
  const CurlFunctions& functions = curl();
  Response response;
  functions.setopt(curl_, CURLOPT_URL, url.c_str());
  functions.setopt(curl_, CURLOPT_USERAGENT, "quartzarch/0.2");
  functions.setopt(curl_, CURLOPT_NOSIGNAL, 1L);
  functions.setopt(curl_, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_.count()));
  functions.setopt(curl_, CURLOPT_PROTOCOLS_STR, "http,https");
  functions.setopt(curl_, CURLOPT_NOPROXY, "*");
  if (!ca_file_.empty()) functions.setopt(curl_, CURLOPT_CAINFO, ca_file_.c_str());
  functions.setopt(curl_, CURLOPT_WRITEFUNCTION, append_body);
  functions.setopt(curl_, CURLOPT_WRITEDATA, &response);
  functions.setopt(curl_, CURLOPT_HEADERFUNCTION, parse_header);
  functions.setopt(curl_, CURLOPT_HEADERDATA, &response);
  if (stopped_) {
    functions.setopt(curl_, CURLOPT_NOPROGRESS, 0L);
    functions.setopt(curl_, CURLOPT_XFERINFOFUNCTION, abort_if_stopped);
    functions.setopt(curl_, CURLOPT_XFERINFODATA, &stopped_);
  }
  const CURLcode code = functions.perform(curl_);
  functions.getinfo(curl_, CURLINFO_RESPONSE_CODE, &response.status);
  functions.easy_reset(curl_);
  if (code != CURLE_OK) throw HttpError(url + ": " + functions.strerror(code));
  return response;
}

Response Http::head(const std::string& url) {
  curl().setopt(curl_, CURLOPT_NOBODY, 1L);
  return perform(url);
}

Response Http::get(const std::string& url) { return perform(url); }

Response Http::post(const std::string& url, const std::string& body) {
  const CurlFunctions& functions = curl();
  const std::unique_ptr<curl_slist, decltype(functions.slist_free_all)> headers(
      functions.slist_append(nullptr, "Content-Type: application/jose+json"), functions.slist_free_all);
  functions.setopt(curl_, CURLOPT_HTTPHEADER, headers.get());
  functions.setopt(curl_, CURLOPT_POST, 1L);
  functions.setopt(curl_, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
  functions.setopt(curl_, CURLOPT_COPYPOSTFIELDS, body.c_str());
  return perform(url);
}

}  // namespace quartzarch::acme
