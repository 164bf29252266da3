// SIP messages (RFC 3261), parsed in place: what a message hands out points into the bytes it was read from.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quartzarch::sip {

struct Header {
  std::string_view name{};   // the long form of a compact one
  std::string_view value{};  // unfolded, without the white space around it
};

class Message {
 public:
  // Reads a head, up to and with its empty line, and takes `body` as it is. Nothing if it is malformed.
  static std::optional<Message> parse(std::string_view head, std::string_view body);

  bool is_request() const { return status_ == 0; }
  std::string_view method() const { return method_; }  // of a response: that of its CSeq
  std::string_view uri() const { return uri_; }
  std::string_view version() const { return version_; }
  int status() const { return status_; }
  std::string_view body() const { return body_; }

  // The first value of that name; empty if there is none.
  std::string_view header(std::string_view name) const;
  bool has(std::string_view name) const;
  // All values of that name in their order, lists taken apart at their commas.
  std::vector<std::string_view> values(std::string_view name) const;

 private:
  bool parse_start(std::string_view line);
  bool parse_headers(std::string_view lines);

  std::string_view method_{}, uri_{}, version_{}, body_{};
  int status_ = 0;
  std::vector<Header> headers_{};
  std::deque<std::string> unfolded_values_{};
};

// Where a head ends, its empty line included; npos if it is not whole yet.
std::size_t head_length(std::string_view bytes);
// The Content-Length a head names; nothing if it names none, -1 if it is no number.
std::optional<long> content_length(std::string_view head);

bool equals_ignore_case(std::string_view a, std::string_view b);

// The value of a parameter behind a header's value or a URI: ";branch=z9hG4bK1" -> "z9hG4bK1". Nothing if it
// is not there, empty if it has no value.
std::optional<std::string_view> parameter(std::string_view value, std::string_view name);

// The URI inside <> or, without these, up to the parameters.
std::string_view uri_of(std::string_view value);
std::string_view tag_of(std::string_view value);

struct Uri {
  std::string_view scheme{}, user{}, host{};
  int port = 0;  // 0: not given
  std::string_view transport{};
};
std::optional<Uri> parse_uri(std::string_view text);

// The sent-by of a Via.
struct Via {
  std::string_view transport{}, host{};
  int port = 0;
  std::string_view branch{};
};
std::optional<Via> parse_via(std::string_view value);

struct CSeq {
  unsigned long number = 0;
  std::string_view method{};
};
std::optional<CSeq> parse_cseq(std::string_view value);

}  // namespace quartzarch::sip
