#include "session.hpp"

#include <algorithm>
#include <cmath>

namespace quartzarch::wire {
namespace {

enum class EventCode : std::uint8_t {
  provision = 1,
  update = 2,
  request = 3,
  started = 4,
  ended = 5,
  withdrawn = 6,
  wake = 7,
  check_result = 8,
  heard = 9,
  retire = 10,
  page = 11,
};

enum class ActionCode : std::uint8_t {
  hand_off = 65,
  reject = 66,
  abort = 67,
  call_off = 68,
  after = 69,
  ask_load = 70,
  write_peer = 72,
  trace = 73,
  keep_informed = 75,
};

constexpr std::uint16_t kAllPeers = 0xffff;

ServerId server_id(Reader& in) {
  ServerId id;
  for (auto& byte : id.address) byte = in.get<std::uint8_t>();
  id.port = in.get<std::uint16_t>();
  return id;
}

int number_of(float value) {
  return std::isfinite(value) ? static_cast<int>(std::clamp(value, -1.0f, 1e6f)) : -1;
}

LoadReport load_report(Reader& in, const std::vector<std::string>& fields) {
  LoadReport report;
  const auto count = in.get<std::uint8_t>();
  for (std::size_t i = 0; i < count; ++i) {
    const float value = in.get<float>();
    auto* const field = i < fields.size() ? report_field(report, fields[i]) : nullptr;
    if (field && value != -1.0f) *field = value;  // -1: not given
  }
  return report;
}

Ending ending_of(std::uint16_t code) {
  switch (code) {
    case 1:
      return Ending::completed;
    case 2:
      return Ending::full;
    case 3:
      return Ending::timed_out;
    case 4:
      return Ending::not_connected;
    case 5:
      return Ending::reset;
    case 6:
      return Ending::cancelled;
    case 7:
      return Ending::not_sent;
    default:
      return Ending::fault;
  }
}

Cause cause_of(std::uint32_t why) {
  switch (why % 16) {
    case 1:
      return Cause::no_circuit;
    case 2:
      return Cause::rejected;
    case 3:
      return Cause::processor_full;
    case 4:
      return Cause::number_busy;
    default:
      return Cause::none;
  }
}

// Writes the actions of one front.
class ActionWriter {
 public:
  ActionWriter(Writer& out, std::uint16_t front) : out_(out), front_(front) {}

  void operator()(const SendSetup& a) {
    begin(ActionCode::hand_off).put(a.call).put(ms(a.give_up_after));
    server(a.server);
  }
  void operator()(const Refuse& a) { begin(ActionCode::reject).put(a.call).put(ms(a.retry_after)); }
  void operator()(const Fail& a) { begin(ActionCode::abort).put(a.call); }
  void operator()(const CancelAttempt& a) {
    begin(ActionCode::call_off).put(a.call).put(static_cast<std::uint16_t>(a.attempt));
  }
  void operator()(const SetTimer& a) { begin(ActionCode::after).put(ms(a.after)).put(a.token); }
  void operator()(const Probe& a) {
    begin(ActionCode::ask_load);
    server(a.server);
  }
  void operator()(const SendPeerMessage& a) {
    begin(ActionCode::write_peer).put(a.to ? static_cast<std::uint16_t>(*a.to) : kAllPeers).text(a.body);
  }
  void operator()(const Log& a) { begin(ActionCode::trace).text(a.text); }
  void operator()(const Subscribe&) { begin(ActionCode::keep_informed).put(std::uint8_t{1}); }

 private:
  Writer& begin(ActionCode code) { return out_.put(static_cast<std::uint8_t>(code)).put(front_); }
  void server(const ServerId& id) {
    for (const auto byte : id.address) out_.put(byte);
    out_.put(id.port);
  }
  static double ms(std::optional<Duration> time) {
    return time ? static_cast<double>(time->count()) / 1e3 : 0.0;
  }

  Writer& out_;
  std::uint16_t front_;
};

}  // namespace

BatchHeader BatchHeader::parse(std::string_view bytes) {
  Reader in(bytes);
  BatchHeader header;
  header.number = in.get<std::uint32_t>();
  header.length = in.get<std::uint32_t>();
  header.records = in.get<std::uint32_t>();
  header.clock_ms = in.get<double>();
  return header;
}

std::string Session::reply(const BatchHeader& header, std::string_view records) {
  if (records.size() != header.length) throw WireError("length of the batch does not match its header");
  if (!std::isfinite(header.clock_ms)) throw WireError("the clock is not a number");
  now_ = from_ms(header.clock_ms);
  out_ = Writer();
  actions_ = 0;
  Reader in(records);
  for (std::uint32_t i = 0; i < header.records; ++i) record(in);
  if (in.left() != 0) {
    throw WireError(std::to_string(in.left()) + " bytes are left after the last of " +
                    std::to_string(header.records) + " records");
  }
  Writer head;
  head.put(header.number).put(actions_).put(static_cast<std::uint32_t>(out_.bytes().size()));
  return head.bytes() + out_.bytes();
}

void Session::record(Reader& in) {
  const auto start = in.at();
  const auto code = static_cast<EventCode>(in.get<std::uint8_t>());
  if (code == EventCode::page) return page(in);
  if (code == EventCode::provision) return provision(in);
  const auto number = in.get<std::uint16_t>();
  const auto found = fronts_.find(number);
  const Front* const front = found == fronts_.end() ? nullptr : &found->second;
  switch (code) {
    case EventCode::retire:
      fronts_.erase(number);
      return;
    case EventCode::update:
      if (const auto event = update(in)) deliver(number, *event);
      return;
    case EventCode::request:
      return deliver(number, arrived(in));
    case EventCode::started: {
      CallEstablished event{in.get<std::uint64_t>(), in.get<std::uint16_t>(), {}, {}};
      event.server = server_id(in);
      event.delay = from_ms(in.get<double>());
      return deliver(number, event);
    }
    case EventCode::ended:
      return deliver(number, ended(in, front));
    case EventCode::withdrawn:
      return deliver(number, CallCancelled{in.get<std::uint64_t>()});
    case EventCode::wake:
      return deliver(number, TimerFired{in.get<std::uint64_t>()});
    case EventCode::check_result:
      return deliver(number, probed(in, front));
    case EventCode::heard: {
      const auto from = in.get<std::uint16_t>();
      const auto body = in.take(in.get<std::uint16_t>());
      return deliver(number, PeerMessage{from, std::string(body)});
    }
    default:
      throw WireError("unknown event code " + std::to_string(static_cast<int>(code)) + " at byte " +
                      std::to_string(start) + " of the batch");
  }
}

void Session::provision(Reader& in) {
  const auto number = in.get<std::uint16_t>();
  const auto seed = in.get<std::uint64_t>();
  const auto facts = in.take(in.get<std::uint32_t>());
  InstanceSettings start;
  try {
    start = parse_settings(facts);
  } catch (const SettingsError& error) {
    throw WireError(error.what());
  }
  fronts_.erase(number);
  fronts_.emplace(number, Front{Controller(std::move(start.settings), seed, now_),
                                std::move(start.report_fields), start.retry_hint});
}

void Session::page(Reader& in) {
  const auto id = in.get<std::uint32_t>();
  const auto rows = in.get<std::uint32_t>();
  std::vector<ServerEntry> entries;
  for (std::uint32_t i = 0; i < rows; ++i) {
    ServerEntry entry;
    entry.id = server_id(in);
    in.take(2);  // zone and machine kind
    entry.number = in.get<std::uint16_t>();
    const auto state = in.get<std::uint8_t>();
    entry.availability = state == 0   ? Availability::ready
                         : state == 1 ? Availability::draining
                                      : Availability::gone;
    in.take(4);  // size
    const double started = in.get<double>();
    if (started != 0) entry.started = from_ms(started);
    entries.push_back(entry);
  }
  pages_[id] = std::move(entries);
}

std::optional<Event> Session::update(Reader& in) {
  const auto scope = in.get<std::uint8_t>();
  in.get<std::uint32_t>();  // version: the simulator delivers in order
  const auto id = in.get<std::uint32_t>();
  if (scope == 3) return DiscoveryFailed{};
  const auto found = pages_.find(id);
  if (scope > 3) throw WireError("unknown scope " + std::to_string(scope) + " of an update");
  if (found == pages_.end()) throw WireError("an update names list " + std::to_string(id) + ", never sent");
  return ServerList{scope != 0, found->second};
}

Event Session::arrived(Reader& in) {
  CallArrived event;
  event.call = in.get<std::uint64_t>();
  event.call_class = in.get<std::uint8_t>();
  event.tenant = in.get<std::uint32_t>();
  event.number_key = in.get<std::uint64_t>();
  event.caller_timeout = from_ms(in.get<double>());
  in.take(8);  // a guess of the cost
  event.first_choice = number_of(in.get<float>());
  in.take(4);  // circuits
  event.advised = number_of(in.get<float>());
  const auto options = in.get<std::uint8_t>();
  event.retry = (options & 2) != 0;
  event.forwarded = (options & 8) != 0;
  event.reconnect = (options & 16) != 0;
  return event;
}

Event Session::ended(Reader& in, const Front* front) {
  AttemptEnded event;
  event.call = in.get<std::uint64_t>();
  event.delay = from_ms(in.get<double>());
  event.ending = ending_of(in.get<std::uint16_t>());
  event.server = server_id(in);
  event.attempt = in.get<std::uint16_t>();
  const auto why = in.get<std::uint32_t>();
  event.cause = cause_of(why);
  if (front && front->waits_hinted && event.cause == Cause::processor_full && why >= 16) {
    event.retry_after = from_ms(why / 16);
  }
  event.call_finished = in.get<std::uint8_t>() != 0;
  event.report = load_report(in, front ? front->report_fields : std::vector<std::string>{});
  return event;
}

Event Session::probed(Reader& in, const Front* front) {
  ServerProbed event;
  in.get<double>();  // how long it took
  event.server = server_id(in);
  event.passed = in.get<std::uint16_t>() == 1;
  event.report = load_report(in, front ? front->report_fields : std::vector<std::string>{});
  return event;
}

void Session::deliver(std::uint16_t front, const Event& event) {
  const auto found = fronts_.find(front);
  if (found == fronts_.end()) return;  // killed a moment ago
  ActionWriter writer(out_, front);
  for (const Action& action : found->second.controller.handle(now_, event)) {
    std::visit(writer, action);
    ++actions_;
  }
}

}  // namespace quartzarch::wire
