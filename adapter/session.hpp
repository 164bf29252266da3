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
  struct Front {
    Controller controller;
    std::vector<std::string> report_fields;
    bool waits_hinted = false;
  };

  void record(Reader& in);
  void provision(Reader& in);
  void page(Reader& in);
  std::optional<Event> update(Reader& in);
  Event arrived(Reader& in);
  Event ended(Reader& in, const Front* front);
  Event probed(Reader& in, const Front* front);
  void deliver(std::uint16_t front, const Event& event);

  std::map<std::uint16_t, Front> fronts_;
  std::map<std::uint32_t, std::vector<ServerEntry>> pages_;
  Time now_{};
  Writer out_;
  std::uint32_t actions_ = 0;
};

}  // namespace quartzarch::wire
