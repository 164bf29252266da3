// standin_authority: a program that runs the simulated ACME server on a loopback address until SIGTERM or
// SIGINT.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "authority/authority.hpp"
#include "net/stream.hpp"

int main(int argc, char** argv) {
  using namespace quartzarch;
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{
      "A stand-in ACME authority on loopback: RFC 8555, RFC 8737, RFC 9773. For tests and for trying."};
  std::string listen = "127.0.0.1:14000", http01, tls_alpn, root = "standin-root.pem";
  std::int64_t lifetime = 90 * 86400;
  std::vector<std::string> faults;
  app.add_option("--listen", listen, "where it answers")->capture_default_str();
  app.add_option("--http01", http01, "where http-01 answers are looked at, whatever the name");
  app.add_option("--tls-alpn", tls_alpn, "where tls-alpn-01 answers are looked at, whatever the name");
  app.add_option("--root", root, "its root certificates are written here")->capture_default_str();
  app.add_option("--lifetime", lifetime, "of certificates, in seconds")->check(CLI::Range(10L, 400L * 86400));
  app.add_option(
      "--fault", faults,
      "\"NAME [path=/order] [times=3] [from=S] [until=S] [retry_after=S] [date]\", any number of times");
  CLI11_PARSE(app, argc, argv);
  try {
    standin::Authority::Config config;
    const auto address = [](const std::string& text) {
      const auto parsed = parse_address(text);
      if (!parsed || ntohl(parsed->sin_addr.s_addr) >> 24 != 127) {
        throw std::runtime_error(text + " is not a loopback address");
      }
      return *parsed;
    };
    config.listen = address(listen);
    if (!http01.empty()) config.http01 = address(http01);
    if (!tls_alpn.empty()) config.tls_alpn = address(tls_alpn);
    config.options.lifetime = acme::Seconds(lifetime);
    // Block the signals before the first thread starts, so that all threads inherit the mask and only
    // sigwait() below receives them.
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    standin::Authority authority(config);
    const auto begun = std::chrono::floor<acme::Seconds>(std::chrono::system_clock::now());
    for (const std::string& each : faults) authority.add(standin::parse_fault_rule(each, begun));
    std::ofstream(root) << authority.root();
    std::printf("directory %s, roots in %s\n", authority.directory().c_str(), root.c_str());
    std::fflush(stdout);
    int signal = 0;
    sigwait(&set, &signal);
    const auto counts = authority.counts();
    std::printf("orders %d, certificates %d, rejections %d\n", counts.orders, counts.certificates,
                counts.rejections);
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "standin_authority: %s\n", error.what());
    return 2;
  }
}
