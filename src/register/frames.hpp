// What clients of the register and voters say to each other: frames of src/link.
//
//     ask       number = the client's own id of the request   {command}
//     reply     the same id                                    {reply}
//     refused   the same id                                    {outcome, the leader's address or empty}
//     watch     number = the revision already known            {prefix}
//     changes   number = the revision up to which these go     {prefix, (key, its revision, 1 or 0, value)*}
//     hello     number = the voter's identity                  {its name}: first on a voter's connection
//     join      number = its identity                          {its name}: it has no vote and asks for one
//     status    asked without values; answered with {name, leads, term, the leader's name, last index,
//     committed,
//               applied, failed, sessions, revision, (voter's name, identity, votes)*}
//     remove    {name}: a voter that no file names any more; answered with remove {what is wrong, or empty}
//     lead      {name, or empty: any}: leadership is handed on; answered with lead {what is wrong, or empty}
//     consensus what the voters' library says to itself (register/wire.hpp)
//     behind    number = the voter's revision                  {prefix}: changes since then are not kept
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
