#include "acme/http.hpp"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

namespace quartzarch::acme {
namespace {

constexpr std::size_t kLongestBody = 1024 * 1024;

std::size_t take_body(char* data, std::size_t size, std::size_t count, void* to) {
  auto& body = static_cast<Response*>(to)->body;
  if (body.size() + size * count > kLongestBody) return 0;
  body.append(data, size * count);
  return size * count;
}

std::size_t take_header(char* data, std::size_t size, std::size_t count, void* to) {
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
  return size * count;
}

}  // namespace

Http::Http(std::string ca_file, std::chrono::milliseconds timeout)
    : ca_file_(std::move(ca_file)), timeout_(timeout), curl_(curl_easy_init()) {
  if (!curl_) throw HttpError("libcurl could not be started");
}

Http::~Http() { curl_easy_cleanup(curl_); }

Response Http::perform(const std::string& url) {
  Response response;
  curl_easy_setopt(curl_, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl_, CURLOPT_USERAGENT, "quartzarch-acme/0.1");
  curl_easy_setopt(curl_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl_, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_.count()));
  curl_easy_setopt(curl_, CURLOPT_PROTOCOLS_STR, "http,https");
  if (!ca_file_.empty()) curl_easy_setopt(curl_, CURLOPT_CAINFO, ca_file_.c_str());
  curl_easy_setopt(curl_, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt(curl_, CURLOPT_WRITEDATA, &response);
  curl_easy_setopt(curl_, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt(curl_, CURLOPT_HEADERDATA, &response);
  const CURLcode code = curl_easy_perform(curl_);
  curl_easy_getinfo(curl_, CURLINFO_RESPONSE_CODE, &response.status);
  curl_easy_reset(curl_);
  if (code != CURLE_OK) throw HttpError(url + ": " + curl_easy_strerror(code));
  return response;
}

Response Http::head(const std::string& url) {
  curl_easy_setopt(curl_, CURLOPT_NOBODY, 1L);
  return perform(url);
}

Response Http::get(const std::string& url) { return perform(url); }

Response Http::post(const std::string& url, const std::string& body) {
  const std::unique_ptr<curl_slist, void (*)(curl_slist*)> headers(
      curl_slist_append(nullptr, "Content-Type: application/jose+json"), curl_slist_free_all);
  curl_easy_setopt(curl_, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl_, CURLOPT_POST, 1L);
  curl_easy_setopt(curl_, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
  curl_easy_setopt(curl_, CURLOPT_COPYPOSTFIELDS, body.c_str());
  return perform(url);
}

}  // namespace quartzarch::acme
