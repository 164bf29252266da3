// SIP messages (RFC 3261), parsed in place: the string views that a message returns point into the buffer
// that it was parsed from, so that buffer must outlive the message.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quartzarch::sip {

struct Header {
  std::string_view name{};   // compact names (RFC 3261, 7.3.3) are replaced by their long form
  std::string_view value{};  // unfolded, without leading and trailing white space
};

class Message {
 public:
  // `head`: the start line and the headers, including the empty line that ends them. `body` is not parsed.
  // Returns nothing if the head is malformed.
  static std::optional<Message> parse(std::string_view head, std::string_view body);

  bool is_request() const { return status_ == 0; }
  std::string_view method() const { return method_; }  // of a response: the method in its CSeq
  std::string_view uri() const { return uri_; }
  std::string_view version() const { return version_; }
  int status() const { return status_; }
  std::string_view body() const { return body_; }

  // The value of the first header of that name; empty if there is none.
  std::string_view header(std::string_view name) const;
  bool has(std::string_view name) const;
  // The values of all headers of that name, in order; comma-separated lists are split.
  std::vector<std::string_view> values(std::string_view name) const;

 private:
  bool parse_start(std::string_view line);
  bool parse_headers(std::string_view lines);

  std::string_view method_{}, uri_{}, version_{}, body_{};
  int status_ = 0;
  std::vector<Header> headers_{};
  std::deque<std::string> unfolded_values_{};
};

// The length of the head at the start of `bytes`, including its empty line; npos while it is incomplete.
std::size_t head_length(std::string_view bytes);
// The Content-Length in a head; nothing if the header is absent, -1 if its value is not a number.
std::optional<long> content_length(std::string_view head);

// Compares without regard to case, as SIP does for header names, parameter names and tokens.
bool equals_ignore_case(std::string_view a, std::string_view b);

// A parameter that follows a header's value or a URI, such as ";branch=z9hG4bK1". Names are compared without
// regard to case; there may be white space around ";" and "=" (RFC 3261, 25.1).
struct Parameter {
  std::size_t name_end = 0;  // position behind its name, or behind its "=" if it has one
  bool has_equals = false;
  std::string_view value{};
};
std::optional<Parameter> find_parameter(std::string_view value, std::string_view name);
// The value of a parameter. Nothing if the parameter is absent, empty if it has no value.
std::optional<std::string_view> parameter(std::string_view value, std::string_view name);

// The URI between < and > or, without brackets, everything before the parameters.
std::string_view uri_of(std::string_view value);
// The tag parameter of a From or To value; empty if it has none.
std::string_view tag_of(std::string_view value);

struct Uri {
  std::string_view scheme{}, user{}, host{};
  int port = 0;                  // 0: not given
  std::string_view transport{};  // the transport parameter; empty if it has none
};
std::optional<Uri> parse_uri(std::string_view text);

// A Via header's transport, sent-by address and branch.
struct Via {
  std::string_view transport{}, host{};
  int port = 0;
  std::string_view branch{};
};
std::optional<Via> parse_via(std::string_view value);
// A request's topmost Via, which must be valid, with what the receiver adds: the source address as "received"
// if the sent-by names another one, and the source port as the value of an empty "rport" (RFC 3581).
std::string completed_via(std::string_view value, std::string_view source_address, int source_port);

struct CSeq {
  unsigned long number = 0;
  std::string_view method{};
};
std::optional<CSeq> parse_cseq(std::string_view value);

}  // namespace quartzarch::sip
