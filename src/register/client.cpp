#include "register/client.hpp"

namespace quartzarch::reg {
namespace {

constexpr Duration kConnect = std::chrono::milliseconds(400);

Access::Settings settings_of(const std::map<std::string, sockaddr_in>& voters) {
  Access::Settings settings;
  for (const auto& [name, address] : voters) settings.voters.push_back(name);
  return settings;
}

}  // namespace

Client::Client(Loop& loop, std::map<std::string, sockaddr_in> voters, std::uint64_t seed)
    : loop_(loop), voters_(std::move(voters)), access_(settings_of(voters_), seed) {}

Client::~Client() {
  if (timer_) loop_.cancel(*timer_);
  if (stream_) stream_->close();
}

void Client::pump() {
  // Each sending may show that another voter is to be asked: what is due then goes there.
  for (int more = 2; more > 0; --more) {
    auto frames = access_.due(loop_.now());
    if (frames.empty()) break;
    if (stream_ && connected_to_ != access_.voter()) drop();
    if (!stream_) {
      connected_to_ = access_.voter();
      stream_ = std::make_shared<Stream>(loop_, voters_.at(connected_to_), kConnect,
                                         static_cast<Stream::Owner&>(*this), Priority::servers);
    }
    for (std::string& bytes : frames) stream_->send({std::move(bytes), {}, 0});
  }
  if (timer_) loop_.cancel(*timer_);
  timer_ = loop_.at(access_.next(loop_.now()) + Duration{1000}, [this] {
    timer_.reset();
    pump();
  });
}

void Client::drop() {
  stream_->close();
  loop_.keep_until_pass_end(std::exchange(stream_, nullptr));
}

void Client::on_data(Stream& stream) {
  while (stream.alive() && stream_.get() == &stream) {
    link::LinkMessage message;
    std::size_t length = 0;
    const auto taken = link::decode(stream.input(), message, length);
    if (taken == link::Taken::part) break;
    if (taken == link::Taken::malformed || !access_.received(loop_.now(), message)) {
      drop();
      access_.disconnected(loop_.now());
      break;
    }
    stream.consume(length);
  }
  pump();
}

void Client::on_disconnected(Stream& stream, DisconnectReason) {
  if (stream_.get() != &stream) return;
  loop_.keep_until_pass_end(std::exchange(stream_, nullptr));
  access_.disconnected(loop_.now());
  pump();
}

}  // namespace quartzarch::reg
