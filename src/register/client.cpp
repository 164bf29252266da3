#include "register/client.hpp"

namespace quartzarch::reg {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

ClientProtocol::Settings protocol_settings(const std::map<std::string, sockaddr_in>& voters) {
  ClientProtocol::Settings settings;
  for (const auto& [name, address] : voters) settings.voters.push_back(name);
  return settings;
}

}  // namespace

Client::Client(Loop& loop, std::map<std::string, sockaddr_in> voters, std::uint64_t seed)
    : loop_(loop), voters_(std::move(voters)), protocol_(protocol_settings(voters_), seed) {}

Client::~Client() {
  if (timer_) loop_.cancel(*timer_);
  if (stream_) stream_->close();
}

void Client::pump() {
  // Collecting the frames may switch to another voter; what is due then is sent to that one.
  for (int more = 2; more > 0; --more) {
    auto frames = protocol_.due(loop_.now());
    if (frames.empty()) break;
    if (stream_ && connected_to_ != protocol_.voter()) close_connection();
    if (!stream_) {
      connected_to_ = protocol_.voter();
      stream_ = std::make_shared<Stream>(loop_, voters_.at(connected_to_), kConnectTimeout,
                                         static_cast<Stream::Owner&>(*this), Priority::servers);
    }
    for (std::string& bytes : frames) stream_->send({std::move(bytes), {}, 0});
  }
  if (timer_) loop_.cancel(*timer_);
  timer_ = loop_.at(protocol_.next(loop_.now()) + Duration{1000}, [this] {
    timer_.reset();
    pump();
  });
}

void Client::close_connection() {
  stream_->close();
  loop_.keep_until_pass_end(std::exchange(stream_, nullptr));
}

void Client::on_data(Stream& stream) {
  while (stream.alive() && stream_.get() == &stream) {
    link::LinkMessage message;
    std::size_t length = 0;
    const auto taken = link::decode(stream.input(), message, length);
    if (taken == link::Taken::part) break;
    if (taken == link::Taken::malformed || !protocol_.received(loop_.now(), message)) {
      close_connection();
      protocol_.disconnected(loop_.now());
      break;
    }
    stream.consume(length);
  }
  pump();
}

void Client::on_disconnected(Stream& stream, DisconnectReason) {
  if (stream_.get() != &stream) return;
  loop_.keep_until_pass_end(std::exchange(stream_, nullptr));
  protocol_.disconnected(loop_.now());
  pump();
}

}  // namespace quartzarch::reg
