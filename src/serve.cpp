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
#include "link/link_server.hpp"
#include "link/planners.hpp"
#include "managed.hpp"
#include "net/coordinator.hpp"
#include "net/loop.hpp"
#include "net/signals.hpp"

namespace quartzarch {
namespace {

using std::chrono::milliseconds;

// How long new connections are accepted after SIGTERM; later ones go to the process started for an upgrade,
// if any.
constexpr Duration kListenAfterStop = milliseconds(500);
// How long a stop waits, with no request unanswered, until setup servers have taken the pending releases.
constexpr Duration kReleaseFlushTimeout = milliseconds(1000);
// How long connections stay open after the final shutdown of their sending side. A caller whose set-up
// crosses the shutdown in flight sends it once more on another connection.
constexpr Duration kInFlightGrace = milliseconds(50);
// Longest pass of the loop while stopping, and so how often the stop schedule is checked.
constexpr Duration kStopPollInterval = milliseconds(10);
// How long SIP gateways have for answering the final BYEs.
constexpr Duration kByeTimeout = milliseconds(1000);

// Remembers which file is being read, so that the error line about a bad one can name it.
struct Files {
  const char* reading = "";
  std::string read(const char* path) {
    reading = path;
    return read_file(path);
  }
};

// Reduces the number of sockets that the configuration grants to the process's own limit of descriptors.
Config within_process_limits(Config config) {
  rlimit process_limit{};
  if (::getrlimit(RLIMIT_NOFILE, &process_limit) == 0 && process_limit.rlim_cur < config.limits.sockets)
    config.limits.sockets = std::max(static_cast<unsigned>(process_limit.rlim_cur), kMinSockets);
  return config;
}

// The main loop of a serving process: runs until a signal stops it and every request is answered, and reloads
// the configuration on SIGHUP.
class Service {
 public:
  // Applies a new configuration to the running components.
  using Reload = std::function<void(const Config&)>;

  Service(Loop& loop, Logger& log, const char* config_path)
      : loop_(loop), log_(log), config_path_(config_path), signals_(loop) {}

  // Reloads its settings together with the configuration and notifies it of the stop.
  void set_certificates(CertificateManager* certificates) { certificates_ = certificates; }
  // Notifies it of the stop.
  void set_extension(Extension* extension) { extension_ = extension; }
  // The text of the configuration in force, which a reloaded file is checked against.
  void set_active_text(std::string text) { active_text_ = std::move(text); }
  // Counts accepted and rejected reloads in `tally`.
  void count_reloads_in(CallCounters& tally) { tally_ = &tally; }
  std::optional<Time> stop_requested_at() const { return signals_.stop_requested_at(); }

  // What depends on the kind of process: its state as the stop needs it, and its actions.
  struct ServiceCallbacks {
    std::function<std::size_t()> pending_requests;  // requests without a final answer
    std::function<bool()> idle;                     // all answers to callers have been written
    std::function<bool()> servers_notified;         // no release is pending for setup servers
    std::function<void(bool)> after_pass;           // after each pass of the loop; true: stopping
    std::function<void()> answer_pending;           // gives a final answer to each such request
    std::function<StopSchedule()> schedule;         // of a stop, by the settings in force
    std::function<void()> end_connections;          // shuts down the sending side to callers
    std::function<bool()> no_connections;
    Reload reload;
  };

  // The phases of the stop in progress; nullopt if there is none.
  std::optional<StopSchedule> schedule() const { return schedule_; }

  // Serves until a signal arrives, then runs the stop schedule to its end.
  void run(const ServiceCallbacks& callbacks) {
    if (certificates_) certificates_->start();
    const auto nothing_pending = [&] { return callbacks.pending_requests() == 0 && callbacks.idle(); };
    Time last_pending = loop_.now();
    for (;;) {
      loop_.pass(signals_.stop_requested_at() ? kStopPollInterval : milliseconds(1000));
      if (signals_.take_reload_request()) reload_configuration(callbacks.reload);
      const auto stop = signals_.stop_requested_at();
      if (stop && !schedule_) begin_stop(callbacks);
      callbacks.after_pass(stop.has_value());
      if (!stop) continue;
      const Duration since = loop_.now() - *stop;
      if (since >= schedule_->answer_by()) callbacks.answer_pending();
      if (since >= schedule_->end_by()) break;
      if (since < schedule_->last_arrivals() || !nothing_pending()) {
        last_pending = loop_.now();
        continue;
      }
      if (!callbacks.servers_notified() && loop_.now() - last_pending < kReleaseFlushTimeout) continue;
      // Handles input that arrived while the last pass was running.
      loop_.pass(Duration{0});
      if (nothing_pending()) break;
    }
    log_.line("connections of callers are ended, %zu calls owe their answer", callbacks.pending_requests());
    callbacks.end_connections();
    for (const Time until = loop_.now() + kInFlightGrace;
         !callbacks.no_connections() && loop_.now() < until;) {
      loop_.pass(kStopPollInterval);
    }
  }

 private:
  void begin_stop(const ServiceCallbacks& callbacks) {
    schedule_ = callbacks.schedule();
    log_.line("stopping: %zu calls owe their answer", callbacks.pending_requests());
    if (certificates_) certificates_->stop();
    if (extension_) extension_->stop();
  }

  // Applies all of the configuration or nothing: with a bad file the old settings stay in force.
  void reload_configuration(const Reload& reload) {
    std::string reading = config_path_;
    try {
      std::string text = read_file(config_path_);
      const Config fresh = within_process_limits(parse_config(text));
      check_reload(active_text_, text);
      std::function<void()> take_certificates;
      if (certificates_) {
        reading = certificates_->path();
        take_certificates = certificates_->reload();
      }
      reload(fresh);
      if (take_certificates) take_certificates();
      active_text_ = std::move(text);
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
  CertificateManager* certificates_ = nullptr;
  Extension* extension_ = nullptr;
  CallCounters* tally_ = nullptr;
  std::string active_text_;  // the text of the file in force
  Signals signals_;
  std::optional<StopSchedule> schedule_{};
};

// The management address: $NODE_MANAGEMENT, else "management" of the configuration, else none.
std::optional<sockaddr_in> management_address(const Config& config) {
  const char* const configured = std::getenv("NODE_MANAGEMENT");
  if (!configured || !*configured) return config.management;
  const auto parsed = parse_address(configured);
  if (!parsed) throw ConfigError(std::string("NODE_MANAGEMENT is not an address: ") + configured);
  return parsed;
}

Planner::Capacity bounds_of(const Limits& limits) { return {limits.calls(), limits.waiting_bytes()}; }

// The fronts of a process: they use the process's own planner, or several planners by the link.
class Fronts {
 public:
  Fronts(Loop& loop, Logger& log, CallService& core, const Config& config,
         const std::optional<sip::FrontConfig>& sip)
      : loop_(loop),
        binary_(loop, log, core, config.listen, config.limits.callers(), config.limits.output_bytes()) {
    // The time is mixed into the seed. A configuration may hold the same seed at each start; the call ids
    // would then repeat while calls of the previous process are still established under them.
    const auto seed = config.seed ^ static_cast<std::uint64_t>(unix_time().count());
    if (!sip) return;
    sip::FrontConfig bounded = *sip;
    bounded.max_connections = std::min(bounded.max_connections, config.limits.gateways());
    sip_.emplace(loop, log, core, bounded, seed);
  }
  void limit(const Limits& limits) { binary_.limit(limits.callers(), limits.output_bytes()); }
  // Is told of the end of calls that were answered before this process started.
  Front& fallback_front() { return binary_; }
  void stop_listening() { binary_.stop_listening(); }
  void follow_drain(const Drain& drain) { binary_.follow_drain(drain); }
  bool idle() const { return binary_.idle(); }
  void stop_waiting_for_callers() { binary_.stop_waiting_for_callers(); }
  void end_connections() { binary_.end_connections(); }
  bool no_connections() const { return binary_.no_connections(); }
  // Ends the calls of the SIP front, whose dialogs do not outlive the process; calls of the platform's
  // protocol continue.
  void end_sip_dialogs() {
    if (!sip_) return;
    sip_->end_all_calls();
    for (const Time until = loop_.now() + kByeTimeout; !sip_->idle() && loop_.now() < until;) {
      loop_.pass(milliseconds(20));
    }
  }

 private:
  Loop& loop_;
  BinaryFront binary_;
  std::optional<sip::SipFront> sip_{};
};

// Makes the service for operators' control connections and call gaps, if the options name its file.
std::unique_ptr<Extension> make_control_service(Loop& loop, Logger& log, Planner& planner, Files& files,
                                                const Config& config, const ServeOptions& options) {
  if (!options.control) return nullptr;
  files.reading = options.control->c_str();
  return options.make_control_service(loop, log, planner, *options.control, config.seed);
}

// What a process with fronts does after each pass while it stops.
void run_stop_phase(const Loop& loop, const Service& service, Drain& drain, Fronts& fronts) {
  const Time stop = *service.stop_requested_at();
  drain.stop(stop, *service.schedule());
  if (loop.now() - stop >= kListenAfterStop) fronts.stop_listening();
  if (loop.now() - stop >= service.schedule()->last_arrivals()) fronts.stop_waiting_for_callers();
}

// A process with its own fronts and its own planner.
void serve_standalone(Loop& loop, Logger& log, Files& files, Service& service, const Config& config,
                      const ServeOptions& options, const std::optional<sip::FrontConfig>& sip) {
  Planner planner(loop, log, config.instance, config.seed, bounds_of(config.limits));
  const auto control_service = make_control_service(loop, log, planner, files, config, options);
  for (const ServerListUpdate& update : config.known) planner.update_servers(update);
  Fronts fronts(loop, log, planner, config, sip);
  planner.set_unknown_call_front(fronts.fallback_front());
  Drain drain;
  fronts.follow_drain(drain);
  planner.set_drain(&drain);
  service.count_reloads_in(planner.counters());
  ManagedController managed(loop, planner, drain);
  std::optional<ManagementFront> management;
  if (const auto address = management_address(config)) {
    management.emplace(loop, log, managed, *address);
    log.line("%s: management at %s", config.name.c_str(), address_text(management->address()).c_str());
  }
  CoordinatorClient coordinator(
      loop, log, config.coordinator, config.known_index,
      [&planner](const ServerListUpdate& update) { planner.update_servers(update); });
  log.line("%s: serving at %s", config.name.c_str(), address_text(config.listen).c_str());
  service.run({.pending_requests = [&] { return planner.pending_answers(); },
               .idle = [&] { return fronts.idle(); },
               .servers_notified = [&] { return planner.idle(); },
               .after_pass =
                   [&](bool stopping) {
                     if (stopping) run_stop_phase(loop, service, drain, fronts);
                   },
               .answer_pending = [&] { planner.answer_pending_calls(); },
               .schedule = [&] { return StopSchedule(planner.longest_deadline(), planner.longest_aim()); },
               .end_connections = [&] { fronts.end_connections(); },
               .no_connections = [&] { return fronts.no_connections(); },
               .reload =
                   [&](const Config& fresh) {
                     coordinator.set_address(fresh.coordinator);
                     planner.set_capacity(bounds_of(fresh.limits));
                     planner.reload_settings(fresh.instance);
                     fronts.limit(fresh.limits);
                   }});
  fronts.end_sip_dialogs();
}

// One of several planners: each counts as an instance of its own among those of all call controllers.
void serve_as_planner(Loop& loop, Logger& log, Files& files, Service& service, Config config,
                      const ServeOptions& options, const std::vector<sockaddr_in>& planners) {
  const std::size_t index = *options.planner;
  Settings& settings = config.instance.settings;
  settings.rank = settings.rank * static_cast<unsigned>(planners.size()) + static_cast<unsigned>(index);
  settings.instances *= static_cast<unsigned>(planners.size());
  Planner planner(loop, log, config.instance, config.seed + index, bounds_of(config.limits));
  const auto control_service = make_control_service(loop, log, planner, files, config, options);
  for (const ServerListUpdate& update : config.known) planner.update_servers(update);
  link::LinkServer port(loop, log, planner, planners[index]);
  planner.set_unknown_call_front(port);
  CoordinatorClient coordinator(
      loop, log, config.coordinator, config.known_index,
      [&planner](const ServerListUpdate& update) { planner.update_servers(update); });
  log.line("%s: planner %zu of %zu at %s", config.name.c_str(), index, planners.size(),
           address_text(planners[index]).c_str());
  Drain drain;
  planner.set_drain(&drain);
  service.run({.pending_requests = [&] { return planner.pending_answers(); },
               .idle = [&] { return port.idle(); },
               .servers_notified = [&] { return planner.idle(); },
               .after_pass =
                   [&](bool stopping) {
                     if (stopping) drain.stop(*service.stop_requested_at(), *service.schedule());
                     if (stopping) port.stop();
                     port.announce_readiness();
                   },
               .answer_pending = [&] { planner.answer_pending_calls(); },
               .schedule = [&] { return StopSchedule(planner.longest_deadline(), planner.longest_aim()); },
               .end_connections = [] {},
               .no_connections = [] { return true; },
               .reload =
                   [&](const Config& fresh) {
                     coordinator.set_address(fresh.coordinator);
                     planner.set_capacity(bounds_of(fresh.limits));
                     planner.reload_settings(fresh.instance);
                   }});
}

// A process with fronts only, which forwards set-ups to the planners.
void serve_as_forwarder(Loop& loop, Logger& log, Service& service, const Config& config,
                        const std::optional<sip::FrontConfig>& sip,
                        const std::vector<sockaddr_in>& addresses) {
  Duration longest_deadline = config.instance.longest_deadline;
  Duration longest_aim = longest_aim_of(config.instance.settings.classes);
  link::Planners planners(loop, log, addresses, longest_deadline);
  Fronts fronts(loop, log, planners, config, sip);
  planners.set_unknown_call_front(fronts.fallback_front());
  log.line("%s: forwarding at %s to %zu planners", config.name.c_str(), address_text(config.listen).c_str(),
           addresses.size());
  Drain drain;
  fronts.follow_drain(drain);
  planners.set_drain(&drain);
  service.run({.pending_requests = [&] { return planners.pending_answers(); },
               .idle = [&] { return fronts.idle(); },
               .servers_notified = [] { return true; },
               .after_pass =
                   [&](bool stopping) {
                     if (stopping) run_stop_phase(loop, service, drain, fronts);
                   },
               .answer_pending = [&] { planners.fail_pending_calls(); },
               .schedule = [&] { return StopSchedule(longest_deadline, longest_aim); },
               .end_connections = [&] { fronts.end_connections(); },
               .no_connections = [&] { return fronts.no_connections(); },
               .reload =
                   [&](const Config& fresh) {
                     fronts.limit(fresh.limits);
                     // Calls of a class that has gone are still open.
                     longest_deadline = std::max(longest_deadline, fresh.instance.longest_deadline);
                     longest_aim = longest_aim_of(fresh.instance.settings.classes);
                     planners.set_longest_deadline(longest_deadline);
                   }});
  fronts.end_sip_dialogs();
}

// The settings define the classes; the SIP file may name one of them as its default, otherwise the first is
// used.
void set_default_class(sip::FrontConfig& sip, const std::vector<std::string>& names) {
  if (sip.default_class.empty()) sip.default_class = names.front();
  if (std::find(names.begin(), names.end(), sip.default_class) == names.end())
    throw ConfigError("\"default_class\" is not a class of the settings: " + sip.default_class);
}

void serve_with(Logger& log, Files& files, const char* config_path, const ServeOptions& options) {
  Loop loop;
  Service service(loop, log, config_path);
  std::string text = files.read(config_path);
  const Config config = within_process_limits(parse_config(text));
  service.set_active_text(std::move(text));
  loop.read_ahead_budget().set_limit(config.limits.read_ahead_bytes());
  std::string unknown;
  for (const std::string& path : config.unknown) unknown += (unknown.empty() ? "" : ", ") + path;
  if (!unknown.empty()) log.line("configuration: settings that mean nothing here: %s", unknown.c_str());
  std::optional<sip::FrontConfig> sip;
  if (options.sip) {
    sip = sip::parse_front_config(files.read(options.sip->c_str()), options.certs.has_value());
    set_default_class(*sip, config.instance.class_names);
  }
  std::vector<sockaddr_in> planners;
  if (options.levels) planners = parse_planner_addresses(files.read(options.levels->c_str()));
  if (options.planner && *options.planner >= planners.size()) {
    throw ConfigError("--planner is out of range: there is no planner " + std::to_string(*options.planner));
  }
  std::unique_ptr<Extension> fleet;
  if (options.fleet) {
    files.reading = options.fleet->c_str();
    fleet = options.make_fleet(log, *options.fleet, config.name, config.seed);
    service.set_extension(fleet.get());
  }
  std::unique_ptr<CertificateManager> certificates;
  if (options.certs) {
    files.reading = options.certs->c_str();
    certificates = options.make_certificates(log, *options.certs, sip && sip->listening.tls);
    service.set_certificates(certificates.get());
    if (sip) sip->listening.certificates = certificates->registry();
  }
  if (options.planner) {
    serve_as_planner(loop, log, files, service, config, options, planners);
  } else if (options.forwarder) {
    serve_as_forwarder(loop, log, service, config, sip, planners);
  } else {
    serve_standalone(loop, log, files, service, config, options, sip);
  }
  log.line("stopped");
}

}  // namespace

int serve(Logger& log, const ServeOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  const char* const path = std::getenv("NODE_CONFIG");
  if (!path) {
    log.line("configuration: NODE_CONFIG is not set");
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
