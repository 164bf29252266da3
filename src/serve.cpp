#include "serve.hpp"

#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <optional>

#include "config.hpp"
#include "core/drain.hpp"
#include "core/planner.hpp"
#include "core/stop.hpp"
#include "front/binary.hpp"
#include "front/management.hpp"
#include "front/sip/front_config.hpp"
#include "link/planners.hpp"
#include "link/port.hpp"
#include "managed.hpp"
#include "net/coordinator.hpp"
#include "net/loop.hpp"
#include "net/signals.hpp"

namespace quartzarch {
namespace {

using std::chrono::milliseconds;

// New connections after SIGTERM are taken until then; beside an upgraded process what comes later goes to it.
constexpr Duration kListenAfterStop = milliseconds(500);
// For how long a stop waits, with nothing else owed, until setup servers have taken what they are to hear.
constexpr Duration kLastReleases = milliseconds(1000);
// A set-up that crosses the end of its connection by less than this is sent once more on another.
constexpr Duration kCrossing = milliseconds(50);
// How often a stopping process looks at its schedule.
constexpr Duration kStopStep = milliseconds(10);
// What gateways have for answering the last BYEs.
constexpr Duration kLastByes = milliseconds(1000);

// A file is named while it is read, for the one line that tells of a bad one.
struct Files {
  const char* reading = "";
  std::string read(const char* path) {
    reading = path;
    return read_file(path);
  }
};

// The descriptors that the configuration grants, or fewer if the process may hold no more.
Config within_own_limits(Config config) {
  rlimit own{};
  if (::getrlimit(RLIMIT_NOFILE, &own) == 0 && own.rlim_cur < config.limits.sockets)
    config.limits.sockets = std::max(static_cast<unsigned>(own.rlim_cur), kMinSockets);
  return config;
}

// Serves until it was told to stop and nothing is owed any more.
class Service {
 public:
  // What a new configuration means for those that run on it.
  using Reload = std::function<void(const Config&)>;

  Service(Loop& loop, Logger& log, const char* config_path)
      : loop_(loop), log_(log), config_path_(config_path), signals_(loop) {}

  // Its settings are read again with the configuration; it is told of the stop.
  void with(KeptCertificates* certificates) { certificates_ = certificates; }
  // It is told of the stop.
  void with(Extension* extension) { extension_ = extension; }
  // The text of the file that it started with: what a file read again must have too.
  void started_with(std::string text) { running_ = std::move(text); }
  // Where files taken and turned down at SIGHUP are counted.
  void count_in(Tally& tally) { tally_ = &tally; }
  std::optional<Time> stop_came() const { return signals_.stop_came(); }

  // What a serving process does at the steps of its life.
  struct Served {
    std::function<std::size_t()> owed;       // requests whose answer is still to come
    std::function<bool()> idle;              // everything owed to callers has been written
    std::function<bool()> told;              // setup servers have been told what they are to hear
    std::function<void(bool)> each_pass;     // true: it is stopping
    std::function<void()> answer_owed;       // the final answer to each request that has none yet
    std::function<StopSchedule()> schedule;  // by the settings in force
    std::function<void()> end_connections;   // callers hear that nothing more will come
    std::function<bool()> no_connections;
    Reload reload;
  };

  // From when on and until when a stop does what; absent: there is none.
  std::optional<StopSchedule> schedule() const { return schedule_; }

  void run(const Served& served) {
    if (certificates_) certificates_->begin();
    const auto nothing_owed = [&] { return served.owed() == 0 && served.idle(); };
    Time last_owed = loop_.now();
    for (;;) {
      loop_.pass(signals_.stop_came() ? kStopStep : milliseconds(1000));
      if (signals_.take_reload()) read_again(served.reload);
      const auto stop = signals_.stop_came();
      if (stop && !schedule_) begin_stop(served);
      served.each_pass(stop.has_value());
      if (!stop) continue;
      const Duration since = loop_.now() - *stop;
      if (since >= schedule_->answer_by()) served.answer_owed();
      if (since >= schedule_->end_by()) break;
      if (since < schedule_->last_arrivals() || !nothing_owed()) {
        last_owed = loop_.now();
        continue;
      }
      if (!served.told() && loop_.now() - last_owed < kLastReleases) continue;
      // What came while the last pass was at work is taken too.
      loop_.pass(Duration{0});
      if (nothing_owed()) break;
    }
    log_.line("connections of callers are ended, %zu calls owe their answer", served.owed());
    served.end_connections();
    for (const Time until = loop_.now() + kCrossing; !served.no_connections() && loop_.now() < until;) {
      loop_.pass(kStopStep);
    }
  }

 private:
  void begin_stop(const Served& served) {
    schedule_ = served.schedule();
    log_.line("stopping: %zu calls owe their answer", served.owed());
    if (certificates_) certificates_->stop();
    if (extension_) extension_->stop();
  }

  // All of it is taken or nothing: after a bad file everything goes on as it was.
  void read_again(const Reload& reload) {
    std::string reading = config_path_;
    try {
      std::string text = read_file(config_path_);
      const Config fresh = within_own_limits(parse_config(text));
      check_reload(running_, text);
      std::function<void()> take_certificates;
      if (certificates_) {
        reading = certificates_->path();
        take_certificates = certificates_->read_again();
      }
      reload(fresh);
      if (take_certificates) take_certificates();
      running_ = std::move(text);
      if (tally_) ++tally_->reload_success;
      log_.line("configuration: read again");
    } catch (const ConfigError& error) {
      if (tally_) ++tally_->reload_failure;
      log_.line("configuration: %s: %s; the old one goes on", reading.c_str(), error.what());
    }
  }

  Loop& loop_;
  Logger& log_;
  const char* config_path_;
  KeptCertificates* certificates_ = nullptr;
  Extension* extension_ = nullptr;
  Tally* tally_ = nullptr;
  std::string running_;  // the text of the file in force
  Signals signals_;
  std::optional<StopSchedule> schedule_{};
};

// The second address: $NODE_MANAGEMENT, else "management" of the configuration, else none.
std::optional<sockaddr_in> management_address(const Config& config) {
  const char* const named = std::getenv("NODE_MANAGEMENT");
  if (!named || !*named) return config.management;
  const auto parsed = parse_address(named);
  if (!parsed) throw ConfigError(std::string("NODE_MANAGEMENT is no address: ") + named);
  return parsed;
}

Planner::Bounds bounds_of(const Limits& limits) { return {limits.calls(), limits.waiting_bytes()}; }

// The fronts of a process: on a planner of its own or on several by the link.
class Fronts {
 public:
  Fronts(Loop& loop, Logger& log, Core& core, const Config& config,
         const std::optional<sip::FrontConfig>& sip)
      : loop_(loop),
        binary_(loop, log, core, config.listen, config.limits.callers(), config.limits.output_bytes()) {
    // The time goes into the seed: with a configuration that names the same one at each start, the ids of
    // calls would come again while calls of the last process still stand under them.
    const auto seed = config.seed ^ static_cast<std::uint64_t>(unix_time().count());
    if (!sip) return;
    sip::FrontConfig bounded = *sip;
    bounded.most_connections = std::min(bounded.most_connections, config.limits.gateways());
    sip_.emplace(loop, log, core, bounded, seed);
  }
  void limit(const Limits& limits) { binary_.limit(limits.callers(), limits.output_bytes()); }
  Front& strays() { return binary_; }
  void stop_listening() { binary_.stop_listening(); }
  void drain_by(const Drain& drain) { binary_.drain_by(drain); }
  bool idle() const { return binary_.idle(); }
  void end_connections() { binary_.end_connections(); }
  bool no_connections() const { return binary_.no_connections(); }
  // Nothing of a dialog outlives the process, so its calls are ended; on the platform's protocol they go on.
  void hang_up() {
    if (!sip_) return;
    sip_->hang_up();
    for (const Time until = loop_.now() + kLastByes; !sip_->idle() && loop_.now() < until;) {
      loop_.pass(milliseconds(20));
    }
  }

 private:
  Loop& loop_;
  BinaryFront binary_;
  std::optional<sip::SipFront> sip_{};
};

std::unique_ptr<Extension> attach(Loop& loop, Logger& log, Planner& planner, Files& files,
                                  const Config& config, const ServeOptions& options) {
  if (!options.control) return nullptr;
  files.reading = options.control->c_str();
  return options.make_operation(loop, log, planner, *options.control, config.seed);
}

// A pass of a stopping process that has callers.
void stop_step(const Loop& loop, const Service& service, Drain& drain, Fronts& fronts) {
  const Time stop = *service.stop_came();
  drain.stop(stop, *service.schedule());
  if (loop.now() - stop >= kListenAfterStop) fronts.stop_listening();
}

void serve_alone(Loop& loop, Logger& log, Files& files, Service& service, const Config& config,
                 const ServeOptions& options, const std::optional<sip::FrontConfig>& sip) {
  Planner planner(loop, log, config.instance, config.seed, bounds_of(config.limits));
  const auto operation = attach(loop, log, planner, files, config, options);
  for (const FleetNews& news : config.known) planner.news(news);
  Fronts fronts(loop, log, planner, config, sip);
  planner.strays_to(fronts.strays());
  Drain drain;
  fronts.drain_by(drain);
  planner.drain_by(&drain);
  service.count_in(planner.tally());
  Managed operations(loop, planner, drain);
  std::optional<ManagementFront> management;
  if (const auto address = management_address(config)) {
    management.emplace(loop, log, operations, *address);
    log.line("%s: management at %s", config.name.c_str(), address_text(management->address()).c_str());
  }
  Coordinator coordinator(loop, log, config.coordinator, config.known_index,
                          [&planner](const FleetNews& news) { planner.news(news); });
  log.line("%s: serving at %s", config.name.c_str(), address_text(config.listen).c_str());
  service.run({.owed = [&] { return planner.owed(); },
               .idle = [&] { return fronts.idle(); },
               .told = [&] { return planner.idle(); },
               .each_pass =
                   [&](bool stopping) {
                     if (stopping) stop_step(loop, service, drain, fronts);
                   },
               .answer_owed = [&] { planner.answer_owed(); },
               .schedule = [&] { return StopSchedule(planner.longest_deadline(), planner.longest_aim()); },
               .end_connections = [&] { fronts.end_connections(); },
               .no_connections = [&] { return fronts.no_connections(); },
               .reload =
                   [&](const Config& fresh) {
                     coordinator.move(fresh.coordinator);
                     planner.limit(bounds_of(fresh.limits));
                     planner.resettle(fresh.instance);
                     fronts.limit(fresh.limits);
                   }});
  fronts.hang_up();
}

// One of several planners: each is an instance of its own among those of all call controllers.
void serve_as_planner(Loop& loop, Logger& log, Files& files, Service& service, Config config,
                      const ServeOptions& options, const std::vector<sockaddr_in>& planners) {
  const std::size_t index = *options.planner;
  Settings& settings = config.instance.settings;
  settings.rank = settings.rank * static_cast<unsigned>(planners.size()) + static_cast<unsigned>(index);
  settings.instances *= static_cast<unsigned>(planners.size());
  Planner planner(loop, log, config.instance, config.seed + index, bounds_of(config.limits));
  const auto operation = attach(loop, log, planner, files, config, options);
  for (const FleetNews& news : config.known) planner.news(news);
  link::Port port(loop, log, planner, planners[index]);
  planner.strays_to(port);
  Coordinator coordinator(loop, log, config.coordinator, config.known_index,
                          [&planner](const FleetNews& news) { planner.news(news); });
  log.line("%s: planner %zu of %zu at %s", config.name.c_str(), index, planners.size(),
           address_text(planners[index]).c_str());
  Drain drain;
  planner.drain_by(&drain);
  service.run({.owed = [&] { return planner.owed(); },
               .idle = [&] { return port.idle(); },
               .told = [&] { return planner.idle(); },
               .each_pass =
                   [&](bool stopping) {
                     if (stopping) drain.stop(*service.stop_came(), *service.schedule());
                     if (stopping) port.stop();
                     port.tell_state();
                   },
               .answer_owed = [&] { planner.answer_owed(); },
               .schedule = [&] { return StopSchedule(planner.longest_deadline(), planner.longest_aim()); },
               .end_connections = [] {},
               .no_connections = [] { return true; },
               .reload =
                   [&](const Config& fresh) {
                     coordinator.move(fresh.coordinator);
                     planner.limit(bounds_of(fresh.limits));
                   }});
}

void serve_as_forwarder(Loop& loop, Logger& log, Service& service, const Config& config,
                        const std::optional<sip::FrontConfig>& sip,
                        const std::vector<sockaddr_in>& addresses) {
  link::Planners planners(loop, log, addresses);
  Fronts fronts(loop, log, planners, config, sip);
  planners.strays_to(fronts.strays());
  log.line("%s: forwarding at %s to %zu planners", config.name.c_str(), address_text(config.listen).c_str(),
           addresses.size());
  Drain drain;
  fronts.drain_by(drain);
  planners.drain_by(&drain);
  service.run({.owed = [&] { return planners.owed(); },
               .idle = [&] { return fronts.idle(); },
               .told = [] { return true; },
               .each_pass =
                   [&](bool stopping) {
                     if (stopping) stop_step(loop, service, drain, fronts);
                   },
               .answer_owed = [&] { planners.answer_owed(); },
               .schedule =
                   [&] {
                     return StopSchedule(config.instance.longest_deadline,
                                         longest_aim_of(config.instance.settings.classes));
                   },
               .end_connections = [&] { fronts.end_connections(); },
               .no_connections = [&] { return fronts.no_connections(); },
               .reload = [&](const Config& fresh) { fronts.limit(fresh.limits); }});
  fronts.hang_up();
}

// Classes come from the settings alone: the file may name one of them, else the first is meant.
void name_default_class(sip::FrontConfig& sip, const std::vector<std::string>& names) {
  if (sip.default_class.empty()) sip.default_class = names.front();
  if (std::find(names.begin(), names.end(), sip.default_class) == names.end())
    throw ConfigError("\"default_class\" is no class of the settings: " + sip.default_class);
}

void serve_with(Logger& log, Files& files, const char* config_path, const ServeOptions& options) {
  Loop loop;
  Service service(loop, log, config_path);
  std::string text = files.read(config_path);
  const Config config = within_own_limits(parse_config(text));
  service.started_with(std::move(text));
  std::string unknown;
  for (const std::string& path : config.unknown) unknown += (unknown.empty() ? "" : ", ") + path;
  if (!unknown.empty()) log.line("configuration: settings that mean nothing here: %s", unknown.c_str());
  std::optional<sip::FrontConfig> sip;
  if (options.sip) {
    sip = sip::parse_front_config(files.read(options.sip->c_str()), options.certs.has_value());
    name_default_class(*sip, config.instance.class_names);
  }
  std::vector<sockaddr_in> planners;
  if (options.levels) planners = parse_planner_addresses(files.read(options.levels->c_str()));
  if (options.planner && *options.planner >= planners.size()) {
    throw ConfigError("there is no planner " + std::to_string(*options.planner));
  }
  std::unique_ptr<Extension> fleet;
  if (options.fleet) {
    files.reading = options.fleet->c_str();
    fleet = options.make_fleet(log, *options.fleet, config.name, config.seed);
    service.with(fleet.get());
  }
  std::unique_ptr<KeptCertificates> certificates;
  if (options.certs) {
    files.reading = options.certs->c_str();
    certificates = options.make_certificates(log, *options.certs, sip && sip->listening.tls);
    service.with(certificates.get());
    if (sip) sip->listening.certificates = certificates->registry();
  }
  if (options.planner) {
    serve_as_planner(loop, log, files, service, config, options, planners);
  } else if (options.forwarder) {
    serve_as_forwarder(loop, log, service, config, sip, planners);
  } else {
    serve_alone(loop, log, files, service, config, options, sip);
  }
  log.line("stopped");
}

}  // namespace

int serve(Logger& log, const ServeOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  const char* const path = std::getenv("NODE_CONFIG");
  if (!path) {
    log.line("configuration: NODE_CONFIG names no file");
    return 2;
  }
  Files files;
  try {
    serve_with(log, files, path, options);
    return 0;
  } catch (const ConfigError& error) {
    log.line("configuration: %s: %s", files.reading, error.what());
    return 2;
  } catch (const std::exception& error) {
    log.line("fatal: %s", error.what());
    return 1;
  }
}

}  // namespace quartzarch
