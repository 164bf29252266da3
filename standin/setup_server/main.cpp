// standin_setup_server: a program that runs a simulated setup server on a loopback address until SIGTERM or
// SIGINT, then prints its counters.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "setup_server/setup_server.hpp"

int main(int argc, char** argv) {
  using namespace quartzarch;
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"A stand-in setup server on loopback: JSON lines, a processor with one line."};
  std::string listen = "127.0.0.1:5070";
  std::int64_t work_ms = 2, holding_ms = 3000;
  standin::SetupServer::Options options;
  app.add_option("--listen", listen, "where it answers")->capture_default_str();
  app.add_option("--work-ms", work_ms, "of a set-up")->check(CLI::Range(0, 10000))->capture_default_str();
  app.add_option("--holding-ms", holding_ms, "of a call; 0: until it is released")->capture_default_str();
  app.add_option("--error-share", options.error_share, "of sound set-ups")->check(CLI::Range(0.0, 1.0));
  app.add_option("--seed", options.seed, "of the errors");
  CLI11_PARSE(app, argc, argv);
  const auto address = parse_address(listen);
  if (!address || ntohl(address->sin_addr.s_addr) >> 24 != 127) {
    std::fprintf(stderr, "%s is not a loopback address\n", listen.c_str());
    return 2;
  }
  options.listen = *address;
  options.setup_work = std::chrono::milliseconds(work_ms);
  options.call_duration = std::chrono::milliseconds(holding_ms);
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  standin::SetupServer server(options);
  std::printf("setup server at %s\n", address_text(server.address()).c_str());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&set, &signal);
  const auto& counts = server.counts();
  std::printf(
      "offers %llu, stood %llu, errors %llu, full %llu, given up %llu, ended %llu, doubled %llu\n",
      static_cast<unsigned long long>(counts.offers), static_cast<unsigned long long>(counts.accepted),
      static_cast<unsigned long long>(counts.errors), static_cast<unsigned long long>(counts.rejected_full),
      static_cast<unsigned long long>(counts.abandoned), static_cast<unsigned long long>(counts.ended),
      static_cast<unsigned long long>(counts.duplicate_offers));
  return 0;
}
