// A session with the simulator: hosts one controller for each simulated instance, decodes batches of events
// and encodes the actions that the controllers return.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quartzarch/controller.hpp"
#include "settings.hpp"
#include "wire.hpp"

namespace quartzarch::wire {

// Header of a batch of events: its number, the length of its records in bytes, their count and the time of
// all of them.
struct BatchHeader {
  static constexpr std::size_t kSize = 20;
  std::uint32_t number = 0;
  std::uint32_t length = 0;
  std::uint32_t records = 0;
  double clock_ms = 0;

  static BatchHeader parse(std::string_view bytes);
};

class Session {
 public:
  // Decodes one batch and returns the reply to it, header included. Throws WireError on malformed input.
  std::string reply(const BatchHeader& header, std::string_view records);

 private:
  // A simulated instance: its controller and how its attempt reports are to be read.
  struct Instance {
    Controller controller;
    std::vector<std::string> report_fields;  // names of the values of a load report, in order
    bool retry_hint = false;                 // 'processor full' carries a retry delay
  };

  void read_record(Reader& in);
  void create_instance(Reader& in);
  void read_page(Reader& in);
  std::optional<Event> read_server_list(Reader& in);
  Event read_call_arrived(Reader& in);
  Event read_attempt_ended(Reader& in, const Instance* instance);
  Event read_server_probed(Reader& in, const Instance* instance);
  void deliver(std::uint16_t instance, const Event& event);

  std::map<std::uint16_t, Instance> instances_;
  // Server lists by their id; an update names one that was sent before.
  std::map<std::uint32_t, std::vector<ServerEntry>> pages_;
  Time now_{};
  Writer out_;
  std::uint32_t action_count_ = 0;
};

}  // namespace quartzarch::wire
