// The protocol between the register's clients and voters, and among voters: frames of src/link, each with a
// type, a number and values.
//
//     ask       number = the client's id of the request        {command}
//     reply     the same id                                    {reply}
//     refused   the same id                                    {outcome, the leader's name or empty}
//     watch     number = the revision already known            {prefix}
//     changes   number = the revision they are complete up to  {prefix, (key, its revision, 1 or 0, value)*}
//     behind    number = the voter's revision                  {prefix}: the changes since then are not kept
//     hello     number = the voter's identity                  {its name}: first frame between voters
//     join      number = its identity                          {its name}: it has no vote and requests one
//     status    without values; answered by status             {name, leads, term, leader's name, last index,
//               committed, applied, failed, sessions, revision, (voter's name, identity, votes)*}
//     remove    {name}: a voter that no settings file names any more; answered by remove {error, or empty}
//     lead      {name, or empty: any}: transfer leadership; answered by lead {error, or empty}
//     consensus a message of the consensus library (register/wire.hpp)
#pragma once

#include "link/message.hpp"

namespace quartzarch::reg {

enum class FrameType : std::uint8_t {
  consensus = 96,
  ask = 100,
  reply,
  refused,
  watch,
  changes,
  behind,
  hello = 110,
  join,
  status,
  remove,
  lead
};

inline std::string frame(FrameType type, std::uint64_t number, const std::vector<std::string>& values) {
  return link::encode(static_cast<link::Type>(type), number, values).head;
}
inline FrameType type_of(const link::LinkMessage& message) {
  return static_cast<FrameType>(static_cast<std::uint8_t>(message.type));
}

}  // namespace quartzarch::reg
