#include "cli/command_line.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>

#include "certificates.hpp"
#include "cli/certs.hpp"
#include "cli/fleet.hpp"
#include "cli/gap.hpp"
#include "config.hpp"
#include "control_service.hpp"
#include "fleet/certificate_store.hpp"
#include "fleet/gap_list.hpp"
#include "logging/output.hpp"
#include "serve.hpp"

namespace quartzarch::cli {
namespace {

void add_serve_options(CLI::App& app, ServeOptions& options) {
  app.add_option("--sip", options.sip, "settings file of the SIP front end (deploy/sip.toml)");
  auto* const levels = app.add_option("--levels", options.levels,
                                      "settings file of planners and forwarders (deploy/levels.toml)");
  auto* const planner = app.add_option("--planner", options.planner,
                                       "run as planner N of that file: makes decisions, accepts no callers");
  auto* const forwarder = app.add_flag("--forwarder", options.forwarder,
                                       "run as a forwarder: accepts callers, makes no decisions");
  app.add_option("--certs", options.certs,
                 "manage the certificates of this settings file (deploy/certs.toml)");
  app.add_option("--control", options.control,
                 "settings file of the control connection (deploy/control.toml)");
  app.add_option("--fleet", options.fleet,
                 "use the register and the duties of this settings file (deploy/fleet.toml)");
  planner->needs(levels)->excludes(forwarder);
  forwarder->needs(levels);
}

// Checks the combinations of options that CLI11 cannot express. Returns the error message; empty if there is
// none.
std::string contradiction(const ServeOptions& options) {
  if (options.levels && !options.planner && !options.forwarder)
    return "--levels needs --planner N or --forwarder";
  if (options.planner && options.sip) return "--planner accepts no callers and excludes --sip";
  if (options.forwarder && options.control) return "--forwarder makes no decisions and excludes --control";
  if (options.planner && options.certs) return "--planner accepts no callers and excludes --certs";
  return {};
}

std::string one_line(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

}  // namespace

int run(Logger& log, int argc, char** argv) {
  CLI::App app{"quartzarch, the call controller"};
  app.set_version_flag("--version", "quartzarch 0.2");
  ServeOptions serve_options;
  add_serve_options(app, serve_options);
  CLI::App* const serve_command =
      app.add_subcommand("serve", "serve calls (the default without a sub-command)");
  add_serve_options(*serve_command, serve_options);
  CertsCommand certs(app);
  GapCommand gap(app);
  FleetCommands fleet(app);
  std::string log_file;
  app.add_option("--log", log_file, "settings file of the log: destination and format (deploy/log.toml)");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) return app.exit(error);  // --help or --version
    log.line("usage: %s (see quartzarch --help)", one_line(error.what()).c_str());
    return 2;
  }
  std::optional<logging::Output> output;  // must outlive everything below that logs
  if (!log_file.empty()) {
    try {
      output.emplace(log, logging::parse_log(read_file(log_file)));
    } catch (const ConfigError& error) {
      log.line("configuration: %s: %s", log_file.c_str(), error.what());
      return 2;
    }
  }
  if (certs.selected()) return certs.run(log);
  if (gap.selected()) return gap.run(log);
  if (fleet.selected()) return fleet.run(log);
  if (const std::string problem = contradiction(serve_options); !problem.empty()) {
    log.line("usage: %s (see quartzarch --help)", problem.c_str());
    return 2;
  }
  fleet::FleetSettings fleet_settings;
  fleet::Membership* member = nullptr;  // serve() destroys it after the objects created later
  std::optional<fleet::Seal> seal;
  serve_options.make_fleet = [&](Logger& to, const std::string& path, const std::string& name,
                                 std::uint64_t seed) {
    fleet_settings = fleet::parse_fleet(read_file(path));
    std::vector<std::string> duties;
    if (serve_options.certs) duties.emplace_back(fleet::kCertificatesDuty);
    if (serve_options.control) duties.emplace_back(fleet::kGapsDuty);
    if (serve_options.certs) seal = fleet::read_seal(fleet_settings);
    auto membership = std::make_unique<fleet::Membership>(to, fleet_settings, name, seed, duties);
    member = membership.get();
    return membership;
  };
  serve_options.make_certificates = [&](Logger& to, const std::string& path, bool tls_port) {
    Certificates::OpenState open_state;
    if (member) {
      open_state = [&](const acme::Settings& settings, std::function<bool()> stopped) {
        return fleet::open_fleet_store(settings, to, *member, *seal, fleet_settings.start_wait,
                                       std::move(stopped));
      };
    }
    return std::make_unique<Certificates>(to, path, tls_port, std::move(open_state));
  };
  serve_options.make_control_service = [&](Loop& loop, Logger& to, Planner& planner, const std::string& path,
                                           std::uint64_t seed) {
    ControlSettings settings = parse_control(read_file(path));
    std::unique_ptr<gap::SharedList> shared_list;
    if (member) shared_list = std::make_unique<fleet::GapList>(to, *member, fleet_settings.start_wait);
    return std::make_unique<ControlService>(loop, to, planner, settings, seed, std::move(shared_list));
  };
  return serve(log, serve_options);
}

}  // namespace quartzarch::cli
