// Makes the commands of the register: one function for each operation, with the arguments that the operation
// uses. No I/O, no clock.
//
// Commands that need a session (`renew`, `close`, `acquire`, `release`) are returned without one: the caller
// sets `session`. `expected` and `fence`, the conditions of a write, are set by the caller, too.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "register/state.hpp"

namespace quartzarch::reg {

// ---- Sessions

// Opens a session that ends unless it is renewed within `time_to_live`.
Command open_session(std::string name, std::uint64_t incarnation, std::chrono::milliseconds time_to_live);
Command renew_session();
// Ends a session in order: its duties are free at once.
Command close_session();
// Ends a session without its client; no effect if it was renewed after `renewals` renewals.
Command expire_session(SessionId session, std::uint64_t renewals);

// ---- Duties

Command acquire_duty(std::string duty, std::uint64_t sequence);
// Releases the holding under `token`, reserved for `successor` unless that is empty.
Command release_duty(std::string duty, Token token, std::uint64_t sequence, std::string successor);
// Ends the reservation that the holding under `token` left behind.
Command expire_reservation(std::string duty, Token token);
Command pause_duty(std::string duty);
Command resume_duty(std::string duty);
// Requests that `controller` hold the duty; empty: withdraws the request.
Command move_duty(std::string duty, std::string controller);

// ---- Values

Command put_value(std::string key, std::string value);
Command erase_value(std::string key);
Command read_value(std::string key);
// Lists the keys that begin with `prefix`, from the first one after `after` on.
Command list_values(std::string prefix, std::string after = {});

}  // namespace quartzarch::reg
