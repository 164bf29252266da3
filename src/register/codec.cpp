// Encoding of the register's commands, replies and snapshots as frames of src/link, whose values are decimal
// numbers and texts. The frame's type says what it is; its 8-byte number holds the field that every record of
// that type has.
#include <charconv>
#include <stdexcept>

#include "link/message.hpp"
#include "register/state.hpp"

namespace quartzarch::reg {
namespace {

using link::LinkMessage;

constexpr std::uint8_t kReply = 64;
// Frame types of a snapshot's records, in this order.
constexpr std::uint8_t kHeader = 80, kSession = 81, kDuty = 82, kValue = 83, kChange = 84, kEnd = 85;
constexpr int kSnapshotVersion = 1;

std::string text(std::uint64_t number) { return std::to_string(number); }

std::string frame(std::uint8_t type, std::uint64_t number, const std::vector<std::string>& values) {
  return link::encode(static_cast<link::Type>(type), number, values).head;
}

// Decodes the first frame and removes it from `bytes`.
std::optional<LinkMessage> next(std::string_view& bytes) {
  LinkMessage message;
  std::size_t length = 0;
  if (link::decode(bytes, message, length) != link::Taken::whole) return std::nullopt;
  bytes.remove_prefix(length);
  return message;
}

std::optional<std::uint64_t> number(const LinkMessage& from, std::size_t at) {
  const std::string_view digits = from.text(at);
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  return value;
}

// A number of a snapshot. Throws if the field is not a number: the bytes are not a snapshot then.
std::uint64_t require_number(const LinkMessage& from, std::size_t at) {
  const auto value = number(from, at);
  if (!value) throw std::runtime_error("snapshot of the register: a field is not a number");
  return *value;
}

}  // namespace

std::string encode(const Command& c) {
  return frame(static_cast<std::uint8_t>(c.op), c.session,
               {text(c.sequence), c.name, c.value, text(c.number), text(c.ttl_ms),
                c.expected ? text(*c.expected) : "-", c.fence ? c.fence->duty : std::string{},
                c.fence ? text(c.fence->token) : "-"});
}

std::optional<Command> decode_command(std::string_view bytes) {
  const auto message = next(bytes);
  if (!message || !bytes.empty() || message->values.size() != 8) return std::nullopt;
  const auto op = static_cast<std::uint8_t>(message->type);
  if (op < static_cast<std::uint8_t>(Op::open) || op > static_cast<std::uint8_t>(Op::move))
    return std::nullopt;
  Command c;
  c.op = static_cast<Op>(op);
  c.session = message->call;
  const auto sequence = number(*message, 0), number_field = number(*message, 3), ttl = number(*message, 4);
  if (!sequence || !number_field || !ttl || *ttl > UINT32_MAX) return std::nullopt;
  c.sequence = *sequence;
  c.name = message->text(1);
  c.value = message->text(2);
  c.number = *number_field;
  c.ttl_ms = static_cast<std::uint32_t>(*ttl);
  if (message->text(5) != "-") {
    c.expected = number(*message, 5);
    if (!c.expected) return std::nullopt;
  }
  if (message->text(7) != "-") {
    const auto token = number(*message, 7);
    if (!token) return std::nullopt;
    c.fence = Fence{std::string(message->text(6)), *token};
  }
  return c;
}

std::string encode(const Reply& reply) {
  std::vector<std::string> values = {text(static_cast<std::uint64_t>(reply.code)), text(reply.token),
                                     reply.holder, text(reply.more)};
  for (const Item& item : reply.items) {
    values.push_back(item.key);
    values.push_back(item.value);
    values.push_back(text(item.revision));
  }
  return frame(kReply, reply.revision, values);
}

std::optional<Reply> decode_reply(std::string_view bytes) {
  const auto message = next(bytes);
  if (!message || !bytes.empty() || static_cast<std::uint8_t>(message->type) != kReply) return std::nullopt;
  if (message->values.size() < 4 || (message->values.size() - 4) % 3 != 0) return std::nullopt;
  const auto code = number(*message, 0), token = number(*message, 1), more = number(*message, 3);
  if (!code || *code > static_cast<std::uint64_t>(Code::reserved) || !token || !more) return std::nullopt;
  Reply reply;
  reply.code = static_cast<Code>(*code);
  reply.revision = message->call;
  reply.token = *token;
  reply.holder = message->text(2);
  reply.more = *more != 0;
  for (std::size_t at = 4; at < message->values.size(); at += 3) {
    const auto revision = number(*message, at + 2);
    if (!revision) return std::nullopt;
    reply.items.push_back({std::string(message->text(at)), std::string(message->text(at + 1)), *revision});
  }
  return reply;
}

// The token is the frame's number; then the holder's session, its name, the reservation, the requested holder
// and the pause flag. Each value carries its length, so a name may hold any bytes.
std::string duty_text(const Duty& duty) {
  return frame(
      kDuty, duty.token,
      {text(duty.holder), duty.holder_name, duty.reserved, duty.requested_holder, text(duty.paused)});
}

Duty parse_duty(std::string_view bytes) {
  const auto message = next(bytes);
  if (!message || static_cast<std::uint8_t>(message->type) != kDuty || message->values.size() != 5) return {};
  Duty duty;
  duty.token = message->call;
  duty.holder = number(*message, 0).value_or(0);
  duty.holder_name = message->text(1);
  duty.reserved = message->text(2);
  duty.requested_holder = message->text(3);
  duty.paused = message->text(4) == "1";
  return duty;
}

std::string State::snapshot() const {
  std::string bytes = frame(kHeader, revision_, {text(kSnapshotVersion), text(last_dropped_)});
  for (const auto& [id, session] : sessions_) {
    bytes += frame(kSession, id,
                   {session.name, text(session.incarnation), text(session.ttl_ms), text(session.renewals),
                    text(session.sequence), encode(session.last)});
  }
  for (const auto& [name, duty] : duties_) {
    if (defects_.drops_free_duties && duty.holder == 0) continue;
    bytes += frame(kDuty, duty.token, {name, duty_text(duty)});
  }
  for (const auto& [key, item] : values_) bytes += frame(kValue, item.revision, {key, item.value});
  for (const Change& change : history_) {
    bytes += frame(kChange, change.revision,
                   {change.key, text(change.value.has_value()), change.value.value_or("")});
  }
  return bytes + frame(kEnd, revision_, {});
}

void State::restore(std::string_view bytes) {
  State fresh(bounds_, defects_);
  const auto header = next(bytes);
  if (!header || static_cast<std::uint8_t>(header->type) != kHeader ||
      require_number(*header, 0) != kSnapshotVersion) {
    throw std::runtime_error("snapshot of the register: unsupported version");
  }
  fresh.revision_ = header->call;
  fresh.last_dropped_ = require_number(*header, 1);
  for (bool ended = false; !ended;) {
    const auto record = next(bytes);
    if (!record) throw std::runtime_error("snapshot of the register: truncated");
    const std::uint64_t id = record->call;
    switch (static_cast<std::uint8_t>(record->type)) {
      case kSession: {
        const auto last = decode_reply(record->text(5));
        if (!last) throw std::runtime_error("snapshot of the register: a session's last reply is malformed");
        fresh.sessions_[id] = {std::string(record->text(0)),
                               require_number(*record, 1),
                               static_cast<std::uint32_t>(require_number(*record, 2)),
                               require_number(*record, 3),
                               require_number(*record, 4),
                               *last};
        break;
      }
      case kDuty:
        fresh.duties_[std::string(record->text(0))] = parse_duty(record->text(1));
        break;
      case kValue: {
        const std::string key(record->text(0));
        fresh.bytes_ += key.size() + record->text(1).size();
        fresh.values_[key] = {key, std::string(record->text(1)), id};
        break;
      }
      case kChange:
        fresh.history_.push_back(
            {id, std::string(record->text(0)),
             require_number(*record, 1) != 0 ? std::optional(std::string(record->text(2))) : std::nullopt});
        break;
      case kEnd:
        ended = true;
        break;
      default:
        throw std::runtime_error("snapshot of the register: unknown record type");
    }
  }
  if (!bytes.empty()) throw std::runtime_error("snapshot of the register: data after its end");
  *this = std::move(fresh);
}

}  // namespace quartzarch::reg
