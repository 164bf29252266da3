#include "node/node.hpp"

#include <algorithm>

namespace quartzarch::standin {
namespace {

// How often the thread checks for a stop request.
constexpr Duration kStopPollInterval = std::chrono::milliseconds(10);

InstanceSettings default_start_up(const Node::Options& options) {
  InstanceSettings start;
  start.settings.classes.resize(options.class_names.size());
  for (auto& each : start.settings.classes) each.aim = options.aim, each.deadline = options.deadline;
  start.class_names = options.class_names;
  start.settings.attempts_cap = 6;
  start.settings.may_cancel = true;
  start.settings.resend = std::chrono::milliseconds(4000);
  start.settings.release_guard = std::chrono::milliseconds(30);
  start.settings.quantum = std::chrono::milliseconds(5);
  start.settings.max_retry_after = std::chrono::milliseconds(2000);
  return start;
}

Host make_host(const sockaddr_in& address, int number) {
  Host made;
  made.name = "s-" + std::to_string(number);
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(&address.sin_addr);
  std::copy_n(bytes, 4, made.entry.id.address.begin());
  made.entry.id.port = ntohs(address.sin_port);
  made.entry.number = number;
  made.entry.availability = Availability::ready;
  return made;
}

}  // namespace

Node::Node(const Options& options, Logger& log)
    : thread_([this, options, &log](const std::stop_token& stop) { run(stop, options, log); }) {
  while (!serving_) std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

Node::~Node() {
  thread_.request_stop();
  thread_.join();
}

sockaddr_in Node::address(sip::TransportKind kind) const {
  const std::uint16_t port = kind == sip::TransportKind::udp   ? udp_
                             : kind == sip::TransportKind::tcp ? tcp_
                                                               : tls_;
  return *parse_address("127.0.0.1:" + std::to_string(port));
}

void Node::run(const std::stop_token& stop, const Options& options, Logger& log) {
  Loop loop;
  Planner planner(loop, log, default_start_up(options), 1, Planner::Capacity{});
  std::vector<Host> hosts;
  for (std::size_t i = 0; i < options.servers.size(); ++i)
    hosts.push_back(make_host(options.servers[i], static_cast<int>(i)));
  planner.update_servers({1, true, hosts});
  sip::FrontConfig config;
  config.listening = options.listening;
  config.default_class = options.class_names.front();
  sip::SipFront front(loop, log, planner, config, 7);
  planner.set_unknown_call_front(front);
  if (options.listening.udp) udp_ = ntohs(front.address(sip::TransportKind::udp).sin_port);
  if (options.listening.tcp) tcp_ = ntohs(front.address(sip::TransportKind::tcp).sin_port);
  if (options.listening.tls) tls_ = ntohs(front.address(sip::TransportKind::tls).sin_port);
  serving_ = true;
  while (!stop.stop_requested()) {
    loop.pass(kStopPollInterval);
    const std::int64_t pass_us = (unix_time() - loop.now()) / std::chrono::microseconds(1);
    if (pass_us > longest_pass_us_) longest_pass_us_ = pass_us;
  }
}

}  // namespace quartzarch::standin
