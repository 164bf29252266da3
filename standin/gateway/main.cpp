// standin_gateway: a program that simulates a campus gateway. It makes calls one after another over SIP on
// TCP or TLS, each on a new connection, and exits with status 1 if any call failed.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <thread>

#include "gateway/gateway.hpp"
#include "net/stream.hpp"

int main(int argc, char** argv) {
  using namespace quartzarch;
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"A stand-in campus gateway: calls one after another over SIP, by TCP or TLS."};
  standin::Gateway::Options options;
  std::string to = "127.0.0.1:5061", roots, number = "7f3a9c21e0b4d655";
  int calls = 10;
  std::int64_t pause_ms = 500;
  bool tcp = false;
  app.add_option("--to", to, "the SIP port")->capture_default_str();
  app.add_flag("--tcp", tcp, "without TLS");
  app.add_option("--name", options.server_name, "the name to ask for, and to find in the certificate");
  app.add_option("--roots", roots, "a file with the roots to trust");
  app.add_option("--class", options.call_class, "X-Call-Class");
  app.add_option("--number", number, "the number called")->capture_default_str();
  app.add_option("--calls", calls, "how many")->capture_default_str();
  app.add_option("--pause-ms", pause_ms, "between two")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  const auto address = parse_address(to);
  if (!address || ntohl(address->sin_addr.s_addr) >> 24 != 127) {
    std::fprintf(stderr, "%s is not a loopback address\n", to.c_str());
    return 2;
  }
  options.server = *address;
  options.tls = !tcp;
  if (!roots.empty()) {
    std::ifstream file(roots);
    options.roots.assign(std::istreambuf_iterator<char>(file), {});
  }
  int failed = 0;
  for (int i = 0; i < calls; ++i) {
    standin::Gateway gateway(options);
    if (!gateway.connect()) {
      std::printf("call %d: no connection: %s\n", i, gateway.error().c_str());
      ++failed;
    } else {
      const auto outcome = gateway.invite(number);
      if (outcome.status != 200) ++failed;
      std::printf("call %d: %d in %lld us%s%s\n", i, outcome.status,
                  static_cast<long long>(outcome.response_time.count()), options.tls ? ", certificate " : "",
                  gateway.certificate().substr(0, 16).c_str());
      if (outcome.status == 200) gateway.bye(outcome, number);
    }
    std::fflush(stdout);
    std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms));
  }
  std::printf("%d calls, %d failed\n", calls, failed);
  return failed == 0 ? 0 : 1;
}
