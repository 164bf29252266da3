#include "register/commands.hpp"

#include <utility>

namespace quartzarch::reg {

Command open_session(std::string name, std::uint64_t incarnation, std::chrono::milliseconds time_to_live) {
  return {.op = Op::open,
          .name = std::move(name),
          .number = incarnation,
          .ttl_ms = static_cast<std::uint32_t>(time_to_live.count())};
}

Command renew_session() { return {.op = Op::renew}; }

Command close_session() { return {.op = Op::close}; }

Command expire_session(SessionId session, std::uint64_t renewals) {
  return {.op = Op::expire, .session = session, .number = renewals};
}

Command acquire_duty(std::string duty, std::uint64_t sequence) {
  return {.op = Op::acquire, .sequence = sequence, .name = std::move(duty)};
}

Command release_duty(std::string duty, Token token, std::uint64_t sequence, std::string successor) {
  return {.op = Op::release,
          .sequence = sequence,
          .name = std::move(duty),
          .value = std::move(successor),
          .number = token};
}

Command expire_reservation(std::string duty, Token token) {
  return {.op = Op::expire_reservation, .name = std::move(duty), .number = token};
}

Command pause_duty(std::string duty) { return {.op = Op::pause, .name = std::move(duty), .number = 1}; }

Command resume_duty(std::string duty) { return {.op = Op::pause, .name = std::move(duty), .number = 0}; }

Command move_duty(std::string duty, std::string controller) {
  return {.op = Op::move, .name = std::move(duty), .value = std::move(controller)};
}

Command put_value(std::string key, std::string value) {
  return {.op = Op::put, .name = std::move(key), .value = std::move(value)};
}

Command erase_value(std::string key) { return {.op = Op::erase, .name = std::move(key)}; }

Command read_value(std::string key) { return {.op = Op::read, .name = std::move(key)}; }

Command list_values(std::string prefix, std::string after) {
  return {.op = Op::list, .name = std::move(prefix), .value = std::move(after)};
}

}  // namespace quartzarch::reg
