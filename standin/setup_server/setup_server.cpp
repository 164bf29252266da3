#include "setup_server/setup_server.hpp"

#include <simdjson.h>

#include <algorithm>
#include <utility>

namespace quartzarch::standin {
namespace {

// Release causes of the protocol: processor full, error, normal end of a call.
constexpr int kCauseFull = 34, kCauseError = 47, kCauseEnded = 16;
// How often the thread checks for a stop request.
constexpr Duration kStopPollInterval = std::chrono::milliseconds(20);

}  // namespace

SetupServer::SetupServer(const Options& options)
    : options_(options), acceptor_(loop_, listen_on(options.listen)), random_(options.seed) {
  loop_.watch(*this, Priority::callers);
  thread_ = std::jthread([this](const std::stop_token& stop) {
    while (!stop.stop_requested()) loop_.pass(kStopPollInterval);
  });
}

SetupServer::~SetupServer() {
  thread_.request_stop();
  thread_.join();
  for (auto& [raw, stream] : streams_) stream->close();
  loop_.unwatch(*this);
}

void SetupServer::on_ready(short) {
  while (Fd fd = acceptor_.accept()) {
    auto stream =
        std::make_shared<Stream>(loop_, std::move(fd), static_cast<Stream::Owner&>(*this), Priority::callers);
    streams_[stream.get()] = stream;
    send_message(*stream, "group", std::string(16, '0'), "\"with\":{\"load\":" + load_report() + "}");
  }
}

void SetupServer::on_disconnected(Stream& stream, DisconnectReason) {
  const auto found = streams_.find(&stream);
  if (found == streams_.end()) return;
  // Pending set-ups are abandoned with their connection; an established call is not bound to a connection.
  std::erase_if(calls_, [&](auto& item) {
    const auto owner = item.second.stream.lock();
    if (item.second.established || owner.get() != &stream) return false;
    loop_.cancel(item.second.timer);
    ++counts_.abandoned;
    return true;
  });
  loop_.keep_until_pass_end(found->second);
  streams_.erase(found);
}

void SetupServer::on_data(Stream& stream) {
  for (;;) {
    const std::string_view input = stream.input();
    const auto end = input.find('\n');
    if (end == std::string_view::npos) return;
    handle_message(stream, input.substr(0, end));
    stream.consume(end + 1);
  }
}

// The load report in the server's messages: utilization and the queue's length in ms of work.
std::string SetupServer::load_report() const {
  const auto queue = std::max(busy_until_ - loop_.now(), Duration{0}) / std::chrono::milliseconds(1);
  const double util = busy_until_ > loop_.now() ? 0.9 : 0.3;
  return "\"x0:100;x1:200;util:" + std::to_string(util) + ";queue:" + std::to_string(queue) + "\"";
}

void SetupServer::send_message(Stream& stream, const std::string& op, const std::string& call,
                               const std::string& rest) {
  stream.send({"{\"op\":\"" + op + "\",\"call\":\"" + call + "\"," + rest + "}\n", {}, 0});
}

Time SetupServer::enqueue_work(Duration duration) {
  busy_until_ = std::max(busy_until_, loop_.now()) + duration;
  return busy_until_;
}

void SetupServer::offer(Stream& stream, const std::string& call) {
  ++counts_.offers;
  if (calls_.count(call) > 0) {
    ++counts_.duplicate_offers;
    return;
  }
  if (options_.error_share > 0 &&
      std::uniform_real_distribution<double>(0, 1)(random_) < options_.error_share) {
    ++counts_.errors;
    return send_message(stream, "end", call,
                        "\"with\":{\"load\":" + load_report() + "},\"why\":" + std::to_string(kCauseError));
  }
  const Duration wait = std::max(busy_until_ - loop_.now(), Duration{0});
  counts_.max_queue_wait_us =
      std::max<std::int64_t>(counts_.max_queue_wait_us, wait / std::chrono::microseconds(1));
  if (wait > options_.max_queue_wait) {
    ++counts_.rejected_full;
    enqueue_work(options_.release_work);
    return send_message(stream, "end", call,
                        "\"with\":{\"load\":" + load_report() +
                            ",\"note\":\"swamped\"},\"why\":" + std::to_string(kCauseFull));
  }
  Call& made = calls_[call];
  made.stream = streams_.at(&stream);
  made.timer = loop_.at(enqueue_work(options_.setup_work), [this, call] {
    Call& current = calls_.at(call);
    const auto connection = current.stream.lock();
    if (!connection) return;
    current.established = true;
    ++counts_.accepted;
    send_message(*connection, "accept", call,
                 "\"with\":{\"load\":" + load_report() + "},\"desc\":\"v=0\\r\\ns=stand-in\\r\\n\"");
    if (options_.call_duration == Duration{0}) return;
    current.timer = loop_.at(loop_.now() + options_.call_duration, [this, call] {
      const auto owner = calls_.at(call).stream.lock();
      calls_.erase(call);
      enqueue_work(options_.release_work);
      ++counts_.ended;
      Stream* const to = owner ? owner.get() : streams_.empty() ? nullptr : streams_.begin()->first;
      if (to)
        send_message(*to, "end", call,
                     "\"with\":{\"load\":" + load_report() + "},\"why\":" + std::to_string(kCauseEnded));
    });
  });
}

void SetupServer::handle_message(Stream& stream, std::string_view line) {
  simdjson::dom::parser parser;
  simdjson::dom::element message;
  std::string_view op, call;
  if (parser.parse(line.data(), line.size()).get(message) != simdjson::SUCCESS ||
      message["op"].get(op) != simdjson::SUCCESS || message["call"].get(call) != simdjson::SUCCESS) {
    return stream.close();
  }
  if (op == "offer") return offer(stream, std::string(call));
  if (op == "test") return send_message(stream, "tested", std::string(call), "\"with\":{},\"why\":1");
  if (op != "end") return;
  const auto found = calls_.find(std::string(call));
  if (found == calls_.end()) return;
  ++(found->second.established ? counts_.ended : counts_.abandoned);
  loop_.cancel(found->second.timer);
  calls_.erase(found);
  enqueue_work(options_.release_work);
}

}  // namespace quartzarch::standin
