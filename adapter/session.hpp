// One process on the simulator's wire: it hosts a controller for each front and translates batches both ways.
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
  // The reply to one batch, header included. Throws WireError on malformed input.
  std::string reply(const BatchHeader& header, std::string_view records);

 private:
  struct Instance {
    Controller controller;
    std::vector<std::string> report_fields;
    bool waits_hinted = false;
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
  std::map<std::uint32_t, std::vector<ServerEntry>> pages_;
  Time now_{};
  Writer out_;
  std::uint32_t action_count_ = 0;
};

}  // namespace quartzarch::wire
