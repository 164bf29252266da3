// quartzarch_sim: connects the controllers to the simulator, whose binary protocol it speaks on standard
// input and output until the input ends.
#include <algorithm>
#include <exception>
#include <iostream>
#include <string>

#include "session.hpp"

namespace {

using quartzarch::wire::BatchHeader;
using quartzarch::wire::WireError;

// Reads `count` bytes, or fewer at the end of the input. Reads in chunks, so that a wrong length cannot
// allocate memory that the input never fills.
std::string read_exactly(std::istream& in, std::size_t count) {
  constexpr std::size_t kChunkSize = 1 << 20;
  std::string bytes;
  while (bytes.size() < count) {
    const auto have = bytes.size();
    bytes.resize(have + std::min(kChunkSize, count - have));
    in.read(bytes.data() + have, static_cast<std::streamsize>(bytes.size() - have));
    bytes.resize(have + static_cast<std::size_t>(in.gcount()));
    if (!in) break;
  }
  return bytes;
}

// Answers batch after batch until the input ends. Throws WireError on malformed input.
void serve(std::istream& in, std::ostream& out) {
  quartzarch::wire::Session session;
  for (std::size_t batch = 0;; ++batch) {
    const auto location = [&] { return " (batch " + std::to_string(batch) + " of the input)"; };
    const std::string head = read_exactly(in, BatchHeader::kSize);
    if (head.empty()) return;
    if (head.size() < BatchHeader::kSize) throw WireError("input ends inside a batch header" + location());
    const auto header = BatchHeader::parse(head);
    const std::string records = read_exactly(in, header.length);
    if (records.size() < header.length) throw WireError("input ends inside a batch" + location());
    try {
      out << session.reply(header, records) << std::flush;
    } catch (const WireError& error) {
      throw WireError(error.what() + location());
    }
    if (!out) throw WireError("cannot write the reply" + location());
  }
}

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    serve(std::cin, std::cout);
  } catch (const std::exception& error) {
    std::cerr << "quartzarch_sim: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
