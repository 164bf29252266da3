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
  app.add_option("--sip", options.sip, "the SIP front's file (deploy/sip.toml)");
  auto* const levels = app.add_option("--levels", options.levels, "the planners' file (deploy/levels.toml)");
  auto* const planner =
      app.add_option("--planner", options.planner, "be planner N of that file: decisions, no callers");
  auto* const forwarder =
      app.add_flag("--forwarder", options.forwarder, "be a forwarder: callers, no decisions");
  app.add_option("--certs", options.certs, "keep the certificates of this file (deploy/certs.toml)");
  app.add_option("--control", options.control, "the control connection's file (deploy/control.toml)");
  app.add_option("--fleet", options.fleet, "the register and duties of this file (deploy/fleet.toml)");
  planner->needs(levels)->excludes(forwarder);
  forwarder->needs(levels);
}

// What CLI11 cannot say of one option.
std::string contradiction(const ServeOptions& options) {
  if (options.levels && !options.planner && !options.forwarder)
    return "--levels needs --planner N or --forwarder";
  if (options.planner && options.sip) return "--planner has no callers: no --sip";
  if (options.forwarder && options.control) return "--forwarder decides nothing: no --control";
  if (options.planner && options.certs) return "--planner has no callers: no --certs";
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
  CLI::App* const serve_command = app.add_subcommand("serve", "serve calls (what no sub-command means too)");
  add_serve_options(*serve_command, serve_options);
  Certs certs(app);
  Gap gap(app);
  FleetCommands fleet(app);
  std::string log_file;
  app.add_option("--log", log_file, "where the log goes and in which form (deploy/log.toml)");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) return app.exit(error);  // help or the version was asked for
    log.line("usage: %s (quartzarch --help tells more)", one_line(error.what()).c_str());
    return 2;
  }
  std::optional<logging::Output> output;  // of the log, to the end
  if (!log_file.empty()) {
    try {
      output.emplace(log, logging::parse_log(read_file(log_file)));
    } catch (const ConfigError& error) {
      log.line("configuration: %s: %s", log_file.c_str(), error.what());
      return 2;
    }
  }
  if (certs.asked()) return certs.run(log);
  if (gap.asked()) return gap.run(log);
  if (fleet.asked()) return fleet.run(log);
  if (const std::string wrong = contradiction(serve_options); !wrong.empty()) {
    log.line("usage: %s (quartzarch --help tells more)", wrong.c_str());
    return 2;
  }
  fleet::FleetSettings fleet_settings;
  fleet::Membership* member = nullptr;  // lives longer than what is made after it
  std::optional<fleet::Seal> seal;
  serve_options.make_fleet = [&](Logger& to, const std::string& path, const std::string& name,
                                 std::uint64_t seed) {
    fleet_settings = fleet::parse_fleet(read_file(path));
    std::vector<std::string> duties;
    if (serve_options.certs) duties.emplace_back(fleet::kCertificatesDuty);
    if (serve_options.control) duties.emplace_back(fleet::kGapsDuty);
    if (serve_options.certs) seal = fleet::read_seal(fleet_settings);
    auto made = std::make_unique<fleet::Membership>(to, fleet_settings, name, seed, duties);
    member = made.get();
    return made;
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
  serve_options.make_operation = [&](Loop& loop, Logger& to, Planner& planner, const std::string& path,
                                     std::uint64_t seed) {
    ControlSettings settings = parse_control(read_file(path));
    std::unique_ptr<gap::SharedList> sharing;
    if (member) sharing = std::make_unique<fleet::GapList>(to, *member, fleet_settings.start_wait);
    return std::make_unique<ControlService>(loop, to, planner, settings, seed, std::move(sharing));
  };
  return serve(log, serve_options);
}

}  // namespace quartzarch::cli
