// quartzarch: one call controller.
#include <sys/signalfd.h>
#include <sys/socket.h>

#include <csignal>
#include <cstdlib>
#include <exception>

#include "config.hpp"
#include "core/planner.hpp"
#include "front/binary.hpp"
#include "front/sip/front_config.hpp"
#include "net/coordinator.hpp"
#include "net/loop.hpp"

namespace {

using namespace quartzarch;
using std::chrono::milliseconds;

// After SIGTERM new connections come for up to 0.4 s, and requests on open ones for a further 0.2 s.
constexpr Duration kLastArrivals = milliseconds(800);
// What gateways have for answering the last BYEs.
constexpr Duration kLastByes = milliseconds(1000);

// Turns SIGTERM and SIGINT into an event of the loop.
class StopSignal : public Watched {
 public:
  explicit StopSignal(Loop& loop) : loop_(loop) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    fd_ = Fd(::signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK));
    loop_.watch(*this, Rank::news);
  }
  ~StopSignal() override { loop_.forget(*this); }

  std::optional<Time> came() const { return came_; }
  int descriptor() const override { return fd_.get(); }
  short interest() const override { return POLLIN; }
  void ready(short) override {
    signalfd_siginfo info;
    while (::read(fd_.get(), &info, sizeof info) > 0) {
      if (!came_) came_ = loop_.now();
    }
  }

 private:
  Loop& loop_;
  Fd fd_;
  std::optional<Time> came_{};
};

int serve(Logger& log, const Config& config, const std::optional<sip::FrontConfig>& sip_config) {
  Loop loop;
  StopSignal stop(loop);
  Planner planner(loop, log, config.start, config.seed);
  for (const FleetNews& news : config.known) planner.news(news);
  BinaryFront front(loop, log, planner, config.listen, config.sockets / 2);
  planner.strays_to(front);
  std::optional<sip::SipFront> sip_front;
  if (sip_config) sip_front.emplace(loop, log, planner, *sip_config, config.seed + 1);
  const Coordinator coordinator(loop, log, config.coordinator, config.known_index,
                                [&planner](const FleetNews& news) { planner.news(news); });
  log.line("%s: serving at %s", config.name.c_str(), address_text(config.listen).c_str());
  bool told = false, hung_up = false;
  Time patience{};
  for (;;) {
    loop.pass(stop.came() ? milliseconds(20) : milliseconds(1000));
    if (!stop.came()) continue;
    if (!std::exchange(told, true)) log.line("stopping: %zu calls owe their answer", planner.owed());
    if (loop.now() - *stop.came() < kLastArrivals || planner.owed() > 0 || !front.idle()) continue;
    // Nothing of a dialog outlives the process, so its calls are ended; on the platform's protocol they go
    // on.
    if (sip_front && !std::exchange(hung_up, true)) {
      sip_front->hang_up();
      patience = loop.now() + kLastByes;
    }
    if (!sip_front || sip_front->idle() || loop.now() >= patience) break;
  }
  log.line("stopped");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Logger log;
  const char* const path = std::getenv("NODE_CONFIG");
  if (!path) {
    log.line("configuration: NODE_CONFIG names no file");
    return 2;
  }
  const bool with_sip = argc == 3 && std::string_view(argv[1]) == "--sip";
  if (argc != 1 && !with_sip) {
    log.line("usage: quartzarch [--sip FILE]");
    return 2;
  }
  const char* reading = path;
  try {
    const Config config = read_config(path);
    std::optional<sip::FrontConfig> sip_config;
    if (with_sip) {
      reading = argv[2];
      sip_config = sip::read_front_config(reading);
    }
    return serve(log, config, sip_config);
  } catch (const ConfigError& error) {
    log.line("configuration: %s: %s", reading, error.what());
    return 2;
  } catch (const std::exception& error) {
    log.line("fatal: %s", error.what());
    return 1;
  }
}
