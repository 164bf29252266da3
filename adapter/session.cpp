#include "session.hpp"

#include <algorithm>
#include <cmath>

namespace quartzarch::wire {
namespace {

// Record codes of the simulator's protocol.
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

// Receiver of a message to all other instances.
constexpr std::uint16_t kAllPeers = 0xffff;

ServerId read_server_id(Reader& in) {
  ServerId id;
  for (auto& byte : id.address) byte = in.get<std::uint8_t>();
  id.port = in.get<std::uint16_t>();
  return id;
}

// A server number, which the protocol carries as a float; -1: none.
int number_of(float value) {
  return std::isfinite(value) ? static_cast<int>(std::clamp(value, -1.0f, 1e6f)) : -1;
}

LoadReport read_load_report(Reader& in, const std::vector<std::string>& fields) {
  LoadReport report;
  const auto count = in.get<std::uint8_t>();
  for (std::size_t i = 0; i < count; ++i) {
    const float value = in.get<float>();
    auto* const field = i < fields.size() ? report_field(report, fields[i]) : nullptr;
    if (field && value != -1.0f) *field = value;  // -1: not reported
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

// The low 4 bits are the cause; above them stands the hinted wait in milliseconds.
Cause cause_of(std::uint32_t code) {
  switch (code % 16) {
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

// Encodes the actions of one instance.
class ActionWriter {
 public:
  ActionWriter(Writer& out, std::uint16_t instance) : out_(out), instance_(instance) {}

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
  Writer& begin(ActionCode code) { return out_.put(static_cast<std::uint8_t>(code)).put(instance_); }
  void server(const ServerId& id) {
    for (const auto byte : id.address) out_.put(byte);
    out_.put(id.port);
  }
  static double ms(std::optional<Duration> time) {
    return time ? static_cast<double>(time->count()) / 1e3 : 0.0;
  }

  Writer& out_;
  std::uint16_t instance_;
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
  if (records.size() != header.length) throw WireError("the batch has another length than its header says");
  if (!std::isfinite(header.clock_ms)) throw WireError("the time in the batch header is not a finite number");
  now_ = from_ms(header.clock_ms);
  out_ = Writer();
  action_count_ = 0;
  Reader in(records);
  for (std::uint32_t i = 0; i < header.records; ++i) read_record(in);
  if (in.remaining() != 0) {
    throw WireError(std::to_string(in.remaining()) + " bytes are left after the last of " +
                    std::to_string(header.records) + " records");
  }
  Writer head;
  head.put(header.number).put(action_count_).put(static_cast<std::uint32_t>(out_.bytes().size()));
  return head.bytes() + out_.bytes();
}

void Session::read_record(Reader& in) {
  const auto start = in.position();
  const auto code = static_cast<EventCode>(in.get<std::uint8_t>());
  if (code == EventCode::page) return read_page(in);
  if (code == EventCode::provision) return create_instance(in);
  const auto number = in.get<std::uint16_t>();
  const auto found = instances_.find(number);
  const Instance* const instance = found == instances_.end() ? nullptr : &found->second;
  switch (code) {
    case EventCode::retire:
      instances_.erase(number);
      return;
    case EventCode::update:
      if (const auto event = read_server_list(in)) deliver(number, *event);
      return;
    case EventCode::request:
      return deliver(number, read_call_arrived(in));
    case EventCode::started: {
      CallEstablished event{in.get<std::uint64_t>(), in.get<std::uint16_t>(), {}, {}};
      event.server = read_server_id(in);
      event.delay = from_ms(in.get<double>());
      return deliver(number, event);
    }
    case EventCode::ended:
      return deliver(number, read_attempt_ended(in, instance));
    case EventCode::withdrawn:
      return deliver(number, CallCancelled{in.get<std::uint64_t>()});
    case EventCode::wake:
      return deliver(number, TimerFired{in.get<std::uint64_t>()});
    case EventCode::check_result:
      return deliver(number, read_server_probed(in, instance));
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

void Session::create_instance(Reader& in) {
  const auto number = in.get<std::uint16_t>();
  const auto seed = in.get<std::uint64_t>();
  const auto json = in.take(in.get<std::uint32_t>());
  InstanceSettings start;
  try {
    start = parse_settings(json);
  } catch (const SettingsError& error) {
    throw WireError(error.what());
  }
  instances_.erase(number);
  instances_.emplace(number, Instance{Controller(std::move(start.settings), seed, now_),
                                      std::move(start.report_fields), start.retry_hint});
}

void Session::read_page(Reader& in) {
  const auto id = in.get<std::uint32_t>();
  const auto rows = in.get<std::uint32_t>();
  std::vector<ServerEntry> entries;
  for (std::uint32_t i = 0; i < rows; ++i) {
    ServerEntry entry;
    entry.id = read_server_id(in);
    in.take(2);  // zone and machine kind
    entry.number = in.get<std::uint16_t>();
    const auto availability = in.get<std::uint8_t>();
    entry.availability = availability == 0   ? Availability::ready
                         : availability == 1 ? Availability::draining
                                             : Availability::gone;
    in.take(4);  // size
    const double started = in.get<double>();
    if (started != 0) entry.started = from_ms(started);
    entries.push_back(entry);
  }
  pages_[id] = std::move(entries);
}

std::optional<Event> Session::read_server_list(Reader& in) {
  const auto scope = in.get<std::uint8_t>();
  in.get<std::uint32_t>();  // version, not needed: the simulator delivers in order
  const auto id = in.get<std::uint32_t>();
  if (scope == 3) return DiscoveryFailed{};
  const auto found = pages_.find(id);
  if (scope > 3) throw WireError("unknown scope " + std::to_string(scope) + " of an update");
  if (found == pages_.end())
    throw WireError("an update names list " + std::to_string(id) + ", which was never sent");
  return ServerList{scope != 0, found->second};
}

Event Session::read_call_arrived(Reader& in) {
  CallArrived event;
  event.call = in.get<std::uint64_t>();
  event.call_class = in.get<std::uint8_t>();
  event.tenant = in.get<std::uint32_t>();
  event.number_key = in.get<std::uint64_t>();
  event.caller_timeout = from_ms(in.get<double>());
  in.take(8);  // estimated cost
  event.first_choice = number_of(in.get<float>());
  in.take(4);  // circuits
  event.advised = number_of(in.get<float>());
  const auto options = in.get<std::uint8_t>();
  event.retry = (options & 2) != 0;
  event.forwarded = (options & 8) != 0;
  event.reconnect = (options & 16) != 0;
  return event;
}

Event Session::read_attempt_ended(Reader& in, const Instance* instance) {
  AttemptEnded event;
  event.call = in.get<std::uint64_t>();
  event.delay = from_ms(in.get<double>());
  event.ending = ending_of(in.get<std::uint16_t>());
  event.server = read_server_id(in);
  event.attempt = in.get<std::uint16_t>();
  const auto code = in.get<std::uint32_t>();
  event.cause = cause_of(code);
  if (instance && instance->retry_hint && event.cause == Cause::processor_full && code >= 16) {
    event.retry_after = from_ms(code / 16);
  }
  event.call_finished = in.get<std::uint8_t>() != 0;
  event.report = read_load_report(in, instance ? instance->report_fields : std::vector<std::string>{});
  return event;
}

Event Session::read_server_probed(Reader& in, const Instance* instance) {
  ServerProbed event;
  in.get<double>();  // duration of the probe
  event.server = read_server_id(in);
  event.passed = in.get<std::uint16_t>() == 1;
  event.report = read_load_report(in, instance ? instance->report_fields : std::vector<std::string>{});
  return event;
}

void Session::deliver(std::uint16_t instance, const Event& event) {
  const auto found = instances_.find(instance);
  if (found == instances_.end()) return;  // terminated earlier in the simulation
  ActionWriter writer(out_, instance);
  for (const Action& action : found->second.controller.handle(now_, event)) {
    std::visit(writer, action);
    ++action_count_;
  }
}

}  // namespace quartzarch::wire
