// Benchmarks duties, which are tasks that one process of a fleet holds at a time under a lease: fault
// simulations of a fleet in virtual time, compared with the same faults without fencing tokens and with a
// lease counted from the reply; the cost of a write with 3 and 5 voters on real disks and loopback sockets;
// hand-overs between processes; call latency during elections; and the file lease, which is used without a
// fleet.
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <thread>

#include "acme/state.hpp"
#include "bench.hpp"
#include "faults/fleet_simulation.hpp"
#include "faults/relay.hpp"
#include "net/stream.hpp"
#include "register/client.hpp"
#include "register/commands.hpp"
#include "register/voter_server.hpp"
#include "setup_server/setup_server.hpp"

namespace quartzarch {
namespace {

using bench::Figures;
using std::chrono::milliseconds;

double to_ms(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

// Simulates each seed three times: with the real rules, with a resource that ignores fencing tokens, and with
// the lease counted from the arrival of the reply.
void benchmark_simulations(Figures& figures, bool quick) {
  const std::uint64_t count = quick ? 20 : 200;
  std::uint64_t fault_count = 0, overlaps = 0, unfenced_overlaps = 0, naive_lease_overlaps = 0, effects = 0,
                lost_writes = 0;
  std::vector<double> gaps;
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    faults::SimulationSettings settings;
    settings.seed = seed;
    settings.faults_per_second = 3;
    settings.late_share = 0.02;
    const faults::WalkResult result = faults::walk(settings);
    fault_count += result.faults;
    effects += result.effects;
    overlaps += result.violation.find("two hold") != std::string::npos ||
                result.violation.find("older holding") != std::string::npos;
    lost_writes += result.violation.find("acknowledged") != std::string::npos;
    for (const Duration gap : result.gaps) gaps.push_back(to_ms(gap));
    settings.resource_ignores_tokens = true;
    unfenced_overlaps += !faults::walk(settings).violation.empty();
    settings.resource_ignores_tokens = false;
    settings.lease_from_reply = settings.controller_pauses_only = true;
    naive_lease_overlaps += !faults::walk(settings).violation.empty();
  }
  figures.add("walks", static_cast<double>(count),
              "simulations of 60 s each: 3 voters, 5 controllers, 3 duties, leases of 1.5 s");
  figures.add("walk_faults", static_cast<double>(fault_count));
  figures.add("walk_effects", static_cast<double>(effects));
  figures.add("overlaps", static_cast<double>(overlaps), "two holders, or their effects interleaved");
  figures.add("lost_writes", static_cast<double>(lost_writes));
  figures.add("naive_overlaps", static_cast<double>(unfenced_overlaps),
              "simulations with interleaved effects if the resource ignores tokens");
  figures.add("naive_lease_overlaps", static_cast<double>(naive_lease_overlaps),
              "simulations with a violation if the lease counts from the reply");
  figures.add("without_holder_p50_ms", bench::percentile(gaps, 0.5),
              "in the simulations, also while no majority is available");
  figures.add("without_holder_p99_ms", bench::percentile(gaps, 0.99));
}

// Voters, each with an event loop and a thread of its own, as in processes that take calls.
class VoterGroup {
 public:
  explicit VoterGroup(int count) {
    std::string directory_template = (std::filesystem::temp_directory_path() / "bench-duty-XXXXXX").string();
    directory_ = ::mkdtemp(directory_template.data());
    for (int i = 0; i < count; ++i)
      addresses_["v" + std::to_string(i)] = bound_address(listen_on(*parse_address("127.0.0.1:0")));
    for (const auto& [name, address] : addresses_) {
      reg::VoterServer::Settings settings{
          name, addresses_, address, directory_ + "/" + name, milliseconds(500), milliseconds(100)};
      std::filesystem::create_directory(settings.directory);
      reg::VoterServer::init(settings);
      threads_.emplace_back([this, settings] {
        Loop loop(steady_time);
        reg::VoterServer voter(loop, log_, settings, 1);
        while (!stopping_) loop.pass(milliseconds(20));
      });
    }
  }
  ~VoterGroup() {
    stopping_ = true;
    for (std::thread& thread : threads_) thread.join();
    std::fclose(null_file_);
    std::filesystem::remove_all(directory_);
  }
  const std::map<std::string, sockaddr_in>& addresses() const { return addresses_; }

 private:
  std::string directory_;
  std::map<std::string, sockaddr_in> addresses_;
  std::FILE* null_file_ = std::fopen("/dev/null", "w");
  Logger log_{null_file_};
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

// Performs `count` writes with up to `max_in_flight` commands in flight: one to measure latency, many to
// measure throughput. Returns the latencies in ms. The first write opens the connection and is not counted.
std::vector<double> measure_writes(const VoterGroup& voters, std::size_t count, std::size_t max_in_flight,
                                   double& per_second) {
  Loop loop(steady_time);
  reg::Client client(loop, voters.addresses(), 1);
  std::vector<double> times;
  std::size_t sent = 0, in_flight = 0;
  bool connected = false;
  Time start = loop.now();
  const auto put = [&](auto&& self) -> void {
    reg::Command command = reg::put_value("key" + std::to_string(sent % 64), std::string(100, 'x'));
    ++sent;
    ++in_flight;
    client.ask(std::move(command),
               [&, self, sent_at = steady_time()](const std::optional<reg::Reply>& reply) {
                 --in_flight;
                 if (!reply) return;
                 if (std::exchange(connected, true)) times.push_back(to_ms(steady_time() - sent_at));
                 if (times.empty()) start = steady_time();
                 if (times.size() + in_flight < count) self(self);
               });
  };
  while (times.size() < count) {
    while (in_flight < (connected ? max_in_flight : 1) && times.size() + in_flight < count + 1) put(put);
    client.pump();
    loop.pass(milliseconds(50));
  }
  per_second = static_cast<double>(times.size()) / (to_ms(steady_time() - start) / 1000);
  return times;
}

void benchmark_writes(Figures& figures, bool quick) {
  for (const int count : {3, 5}) {
    const VoterGroup voters(count);
    const std::string suffix = "_" + std::to_string(count) + "_voters";
    double per_second = 0;
    const auto times = measure_writes(voters, quick ? 200 : 2000, 1, per_second);
    figures.add("write_ms_p50" + suffix, bench::percentile(times, 0.5), "SQLite, synchronous=FULL, loopback");
    figures.add("write_ms_p99" + suffix, bench::percentile(times, 0.99));
    measure_writes(voters, quick ? 2000 : 20000, 64, per_second);
    figures.add("writes_a_second" + suffix, per_second, "64 in flight");
  }
}

// Simulates a large fleet in virtual time; a third of its controllers is partitioned for the middle 30 s
// of 50.
void benchmark_large_fleet(Figures& figures, bool quick) {
  faults::SimulationSettings settings;
  settings.controllers = quick ? 60 : 300;
  settings.duties = quick ? 16 : 64;
  settings.ttl = milliseconds(3000);
  settings.fault_phase = std::chrono::seconds(50);
  settings.settle_timeout = std::chrono::seconds(10);
  settings.partition_third = true;
  settings.loss_share = settings.late_share = 0;
  const faults::WalkResult result = faults::walk(settings);
  const double total_seconds = 60;
  std::vector<double> gaps;
  for (const Duration gap : result.gaps) gaps.push_back(to_ms(gap));
  figures.add("fleet_controllers", settings.controllers,
              "virtual time, leases of 3 s, a third partitioned for 30 s");
  figures.add("fleet_duties", settings.duties);
  figures.add("fleet_faults", !result.violation.empty(), result.violation.c_str());
  figures.add("fleet_messages_a_controller_s",
              static_cast<double>(result.client_messages) / total_seconds / settings.controllers, "sent");
  figures.add("fleet_duty_messages_a_controller_s",
              static_cast<double>(result.duty_messages) / total_seconds / settings.controllers,
              "of these, for its session and duties; the rest are writes by the duties themselves");
  figures.add("fleet_bytes_a_controller_s",
              static_cast<double>(result.client_bytes) / total_seconds / settings.controllers);
  figures.add("fleet_messages_leader_s", static_cast<double>(result.leader_messages) / total_seconds, "sent");
  figures.add("fleet_bytes_leader_s", static_cast<double>(result.leader_bytes) / total_seconds);
  figures.add("fleet_holdings", static_cast<double>(result.holdings),
              "acquisitions of duties, initial ones included");
  figures.add("fleet_without_holder_worst_ms", bench::percentile(gaps, 1));
}

// ---- Hand-overs between processes of the program

// Wall-clock time in microseconds, comparable between processes.
std::int64_t wall_clock_us() { return unix_time().count(); }

// One line that the work of a duty wrote: the fencing token it ran under and the time.
struct Effect {
  unsigned long long token = 0;
  std::int64_t at_us = 0;
};

// Starts the program as a child process. Its output goes to a log file beside the configuration file, or to
// /dev/null if there is no configuration.
pid_t spawn(const std::vector<std::string>& options, const std::string& configuration) {
  std::vector<std::string> command = options;
  command.insert(command.begin(), QUARTZARCH_PROGRAM);
  std::vector<char*> arguments;
  for (std::string& argument : command) arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  const pid_t child = ::fork();
  if (child != 0) return child;
  ::setenv("NODE_CONFIG", configuration.c_str(), 1);
  ::freopen(configuration.empty() ? "/dev/null" : (configuration + ".log").c_str(), "w", stderr);
  ::dup2(2, 1);
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

// Processes that compete for one duty, each with a relay of its own to every voter so that it can be cut off.
// The work of the duty appends its token and the time to one file every few milliseconds.
class HolderProcesses {
 public:
  explicit HolderProcesses(const VoterGroup& voters) {
    std::string directory_template = (std::filesystem::temp_directory_path() / "bench-hold-XXXXXX").string();
    directory_ = ::mkdtemp(directory_template.data());
    for (const char* const name : {"h1", "h2"}) {
      std::ofstream file(directory_ + "/" + name + ".toml");
      file << "directory = \"none\"\nlease_ms = " << kLeaseMs << "\nending_ms = 200\n";
      for (const auto& [voter, address] : voters.addresses()) {
        auto& relay = relays_[name].emplace_back(std::make_unique<faults::Relay>(address));
        file << "[[voter]]\nname = \"" << voter << "\"\naddress = \"" << address_text(relay->address())
             << "\"\n";
      }
    }
  }
  ~HolderProcesses() {
    for (const auto& [name, child] : children_) {
      ::kill(child, SIGCONT);
      ::kill(child, SIGTERM);
      ::waitpid(child, nullptr, 0);
    }
    std::filesystem::remove_all(directory_);
  }
  static constexpr int kLeaseMs = 1500;

  void start(const std::string& name) {
    const std::string script =
        "while :; do echo $QUARTZARCH_TOKEN $(date +%s%6N) >> " + directory_ + "/effects; sleep 0.005; done";
    children_[name] = spawn({"duty", "hold", "work", "--name", name, "--fleet",
                             directory_ + "/" + name + ".toml", "--", "/bin/sh", "-c", script},
                            "");
  }
  void signal(const std::string& name, int signal_number) { ::kill(children_.at(name), signal_number); }
  void terminate(const std::string& name, int signal_number) {
    signal(name, signal_number);
    ::waitpid(children_.at(name), nullptr, 0);
    children_.erase(name);
  }
  void partition(const std::string& name, bool partitioned) {
    for (const auto& relay : relays_.at(name))
      partitioned ? relay->hold(faults::Direction::both) : relay->restore();
  }
  std::vector<Effect> effects() const {
    std::ifstream file(directory_ + "/effects");
    std::vector<Effect> all;
    for (Effect effect; file >> effect.token >> effect.at_us;) all.push_back(effect);
    return all;
  }
  // Waits for the first effect under a token greater than this one; ends the benchmark after about 20 s.
  Effect wait_for_newer(unsigned long long token) const {
    for (int i = 0; i < 4000; ++i) {
      const auto all = effects();
      if (!all.empty() && all.back().token > token) {
        return *std::find_if(all.begin(), all.end(),
                             [&](const Effect& effect) { return effect.token > token; });
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
    std::fprintf(stderr, "no process took the duty within 20 s\n");
    std::exit(1);
  }

 private:
  std::string directory_;
  std::map<std::string, std::vector<std::unique_ptr<faults::Relay>>> relays_;
  std::map<std::string, pid_t> children_;
};

// h1 holds the duty, a fault or an orderly end stops it and h2 takes over. Measures the time from that event
// to the first effect of h2.
void benchmark_hand_overs(Figures& figures, bool quick) {
  const int rounds = quick ? 3 : 50;
  const VoterGroup voters(3);
  std::uint64_t event_count = 0, overlaps = 0;
  for (const char* const event_name : {"killed", "stopped", "cut", "in_order"}) {
    std::vector<double> times, gaps;
    for (int round = 0; round < rounds; ++round) {
      HolderProcesses holders(voters);
      holders.start("h1");
      const auto first_token = holders.wait_for_newer(0).token;
      holders.start("h2");
      std::this_thread::sleep_for(milliseconds(300));
      const std::int64_t start = wall_clock_us();
      const std::string event = event_name;
      if (event == "killed") holders.terminate("h1", SIGKILL);
      if (event == "stopped") holders.signal("h1", SIGSTOP);
      if (event == "cut") holders.partition("h1", true);
      if (event == "in_order") holders.signal("h1", SIGTERM);
      const Effect takeover = holders.wait_for_newer(first_token);
      if (event == "stopped") holders.signal("h1", SIGCONT);
      if (event == "cut") holders.partition("h1", false);
      std::this_thread::sleep_for(milliseconds(100));
      std::int64_t last_us = 0;
      unsigned long long newest = 0;
      bool interleaved = false;
      for (const Effect& effect : holders.effects()) {
        if (effect.token == first_token) last_us = std::max(last_us, effect.at_us);
        interleaved = interleaved || effect.token < newest;
        newest = std::max(newest, effect.token);
      }
      ++event_count;
      overlaps += interleaved;
      times.push_back(static_cast<double>(takeover.at_us - start) / 1000);
      gaps.push_back(static_cast<double>(takeover.at_us - last_us) / 1000);
    }
    const std::string name = std::string("handover_ms_") + event_name;
    figures.add(name + "_p50", bench::percentile(times, 0.5), "until the successor's first effect");
    figures.add(name + "_p99", bench::percentile(times, 0.99));
    figures.add(std::string("without_holder_ms_") + event_name + "_worst", bench::percentile(gaps, 1),
                "from the last effect of the old holder to the first of the new one");
  }
  figures.add("process_faults", static_cast<double>(event_count), "leases of 1.5 s, 3 voters");
  figures.add("process_overlaps", static_cast<double>(overlaps));
}

// ---- Calls during elections

// Three processes that take calls: either all voters of one fleet, or each without a fleet.
class CallProcesses {
 public:
  CallProcesses(const std::string& directory, const sockaddr_in& setup_server, bool fleet)
      : directory_(directory) {
    std::vector<sockaddr_in> voters;
    for (int i = 0; i < 3; ++i) {
      callers_.push_back(bound_address(listen_on(*parse_address("127.0.0.1:0"))));
      voters.push_back(bound_address(listen_on(*parse_address("127.0.0.1:0"))));
    }
    for (int i = 0; i < 3; ++i) {
      const std::string name = "n" + std::to_string(i);
      std::ofstream(path(name, ".json"))
          << R"({"name":")" << name << R"(","listen":")"
          << address_text(callers_[static_cast<std::size_t>(i)])
          << R"(","coordinator":"127.0.0.1:1","known":{"index":1,"updates":[{"index":1,"endpoints":{"whole":true,)"
          << R"("hosts":[{"host":"a","dial":")" << address_text(setup_server)
          << R"(","health":"in_service","block":0}]}}]},"settings":{"n_instances":3,"request_classes":[{"name":"voice",)"
          << R"("aim":1500,"deadline":9000}],"limits":{"attempts_cap":6,"cancelling":true},)"
          << R"("contract":{"cold":0,"cold_from":1,"fall":0,"fall_multiple":1},"specifics":{"release_guard":0}}})";
      std::vector<std::string> options;
      if (fleet) {
        std::ofstream file(path(name, ".toml"));
        file << "directory = \"" << path(name, ".register") << "\"\n";
        for (int v = 0; v < 3; ++v) {
          file << "[[voter]]\nname = \"n" << v << "\"\naddress = \""
               << address_text(voters[static_cast<std::size_t>(v)]) << "\"\n";
        }
        file.close();
        int status = 0;
        ::waitpid(spawn({"fleet", "init", "--fleet", path(name, ".toml"), "--name", name}, ""), &status, 0);
        options = {"--fleet", path(name, ".toml")};
      }
      children_.push_back(spawn(options, path(name, ".json")));
    }
  }
  ~CallProcesses() {
    // SIGKILL, since on SIGTERM each would wait for its callers to reconnect and learn that their calls have
    // ended.
    for (const pid_t child : children_) ::kill(child, SIGKILL);
    for (const pid_t child : children_) ::waitpid(child, nullptr, 0);
  }
  // Moves leadership to another voter. Returns false if there was no leader or the leader refused.
  bool elect() const {
    int status = 0;
    ::waitpid(spawn({"fleet", "lead", "--fleet", path("n0", ".toml")}, ""), &status, 0);
    return status == 0;
  }
  const std::vector<sockaddr_in>& callers() const { return callers_; }

 private:
  std::string path(const std::string& name, const char* what) const { return directory_ + "/" + name + what; }
  std::string directory_;
  std::vector<sockaddr_in> callers_;
  std::vector<pid_t> children_;
};

// A call request in the binary protocol, with its length prefix.
std::string binary_call(std::uint64_t call) {
  std::string body(1, '\1');
  for (int shift = 56; shift >= 0; shift -= 8) body += static_cast<char>(call >> shift & 0xff);
  const std::pair<int, const char*> parameters[] = {
      {180, "voice"}, {182, "5000"}, {188, "7f3a9c21e0b4d655"}, {190, "dest:0;width:1;via:-1"}, {210, "d"}};
  for (const auto& [code, value] : parameters) {
    body += static_cast<char>(code);
    body += '\0';
    body += static_cast<char>(std::strlen(value));
    body += value;
  }
  return std::string{static_cast<char>(body.size() >> 8), static_cast<char>(body.size() & 0xff)} + body;
}

// Holds a connection to each process and places one call at a time, in rotation over the connections.
class Caller {
 public:
  Caller(const std::vector<sockaddr_in>& addresses, std::uint64_t first_call) : last_call_(first_call) {
    for (const sockaddr_in& address : addresses) {
      Fd& fd = fds_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      const timeval receive_timeout{2, 0};
      ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
      for (int i = 0; i < 2000; ++i) {
        if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) break;
        std::this_thread::sleep_for(milliseconds(5));
      }
    }
  }
  // Appends the response time in ms. Returns false if the call was not set up or no answer came. Other
  // messages on the connection (ends of earlier calls) are skipped.
  bool call(std::vector<double>& latencies_ms) {
    const Fd& fd = fds_[++last_call_ % fds_.size()];
    const std::string bytes = binary_call(last_call_);
    const Time start = steady_time();
    if (::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) return false;
    for (;;) {
      unsigned char head[2] = {};
      if (::recv(fd.get(), head, sizeof head, MSG_WAITALL) != sizeof head) return false;
      std::string body(static_cast<std::size_t>(head[0] << 8 | head[1]), '\0');
      if (::recv(fd.get(), body.data(), body.size(), MSG_WAITALL) != static_cast<ssize_t>(body.size()))
        return false;
      if (body.compare(1, 8, bytes, 3, 8) != 0) continue;
      latencies_ms.push_back(to_ms(steady_time() - start));
      return body[0] == 9;
    }
  }

 private:
  std::vector<Fd> fds_;
  std::uint64_t last_call_;
};

void benchmark_calls_during_elections(Figures& figures, bool quick) {
  std::string directory_template = (std::filesystem::temp_directory_path() / "bench-calls-XXXXXX").string();
  const std::string directory = ::mkdtemp(directory_template.data());
  std::filesystem::create_directory(directory + "/without");
  standin::SetupServer::Options options;
  options.listen = *parse_address("127.0.0.1:0");
  options.setup_work = milliseconds(1);
  standin::SetupServer server(options);
  std::vector<double> with_elections, without_fleet;
  int failed = 0, elections = 0;
  {
    const CallProcesses fleet(directory, server.address(), true),
        alone(directory + "/without", server.address(), false);
    Caller to_fleet(fleet.callers(), 1 << 24), to_alone(alone.callers(), 2 << 24);
    std::vector<double> warm_up;
    for (int i = 0; i < 100; ++i) failed += !to_fleet.call(warm_up) + !to_alone.call(warm_up);
    std::atomic<bool> stopping{false};
    std::thread elector([&] {
      while (!stopping) {
        elections += fleet.elect();
        for (int i = 0; i < 20 && !stopping; ++i) std::this_thread::sleep_for(milliseconds(100));
      }
    });
    // Calls to the two groups alternate, so that other load on the machine affects both alike.
    auto next = std::chrono::steady_clock::now();
    for (int i = 0; i < (quick ? 2000 : 20000); ++i) {
      failed += !to_fleet.call(with_elections);
      failed += !to_alone.call(without_fleet);
      next += milliseconds(4);
      std::this_thread::sleep_until(next);
    }
    stopping = true;
    elector.join();
  }
  std::filesystem::remove_all(directory);
  figures.add("calls_p99_ratio",
              bench::percentile(with_elections, 0.99) / bench::percentile(without_fleet, 0.99),
              "calls to voters of a fleet with an election every 2 s, relative to processes without --fleet");
  figures.add("calls_ms_p50", bench::percentile(with_elections, 0.5));
  figures.add("calls_ms_p99", bench::percentile(with_elections, 0.99));
  figures.add("calls_ms_p50_without", bench::percentile(without_fleet, 0.5));
  figures.add("calls_ms_p99_without", bench::percentile(without_fleet, 0.99));
  figures.add("calls_elections", elections);
  figures.add("calls_failed", failed);
}

// ---- For comparison: the file lease, which certificate renewal uses without a fleet

// Two processes that compete for a lease in a file; the holder appends its name to a file of effects. With
// check_early it checks the lease before the work that leads to an effect, otherwise right before the effect.
class FileHolders {
 public:
  explicit FileHolders(bool check_early) {
    std::string directory_template = (std::filesystem::temp_directory_path() / "bench-file-XXXXXX").string();
    directory_ = ::mkdtemp(directory_template.data());
    for (const char* const name : {"1", "2"}) {
      const pid_t child = ::fork();
      if (child == 0) run_holder(name, check_early);
      children_.push_back(child);
      while (effects().empty()) std::this_thread::sleep_for(milliseconds(5));
    }
  }
  ~FileHolders() {
    for (const pid_t child : children_) {
      ::kill(child, SIGKILL);
      ::waitpid(child, nullptr, 0);
    }
    std::filesystem::remove_all(directory_);
  }
  static constexpr acme::Seconds kLease{2};

  void signal_first(int signal_number) { ::kill(children_.front(), signal_number); }
  std::string effects() const {
    std::ifstream file(directory_ + "/effects");
    return {std::istreambuf_iterator<char>(file), {}};
  }

 private:
  [[noreturn]] void run_holder(const std::string& name, bool check_early) const {
    acme::StateDirectory directory(directory_, {});
    acme::FileLease lease(directory, name, kLease);
    const auto now = [] { return std::chrono::floor<acme::Seconds>(std::chrono::system_clock::now()); };
    bool holding = false;
    for (;;) {
      const auto check_lease = [&] { holding = holding ? lease.renew(now()) : lease.acquire(now()); };
      if (check_early) check_lease();
      std::this_thread::sleep_for(milliseconds(2));  // stands for the work that leads to an effect
      if (!check_early) check_lease();
      if (holding) std::ofstream(directory_ + "/effects", std::ios::app) << name;
    }
  }

  std::string directory_;
  std::vector<pid_t> children_;
};

// Stops the holder for longer than its lease, continues it, and counts the rounds in which its effects follow
// those of the next holder.
void benchmark_file_leases(Figures& figures, bool quick) {
  const int rounds = quick ? 3 : 25;
  int late_check_overlaps = 0, early_check_overlaps = 0;
  for (int round = 0; round < rounds; ++round) {
    FileHolders late_check(false), early_check(true);
    late_check.signal_first(SIGSTOP);
    early_check.signal_first(SIGSTOP);
    const auto taken_over = [](const FileHolders& holders) {
      return holders.effects().find('2') != std::string::npos;
    };
    while (!taken_over(late_check) || !taken_over(early_check)) std::this_thread::sleep_for(milliseconds(5));
    late_check.signal_first(SIGCONT);
    early_check.signal_first(SIGCONT);
    std::this_thread::sleep_for(milliseconds(300));
    late_check_overlaps += late_check.effects().find("21") != std::string::npos;
    early_check_overlaps += early_check.effects().find("21") != std::string::npos;
  }
  figures.add("file_lease_stops", rounds,
              "holder stopped for longer than its lease of 2 s in a file, then continued");
  figures.add("file_lease_overlaps", late_check_overlaps, "lease checked right before the effect");
  figures.add("naive_process_overlaps", early_check_overlaps,
              "lease checked before the 2 ms of work that lead to the effect");
}

}  // namespace
}  // namespace quartzarch

int main(int argc, char** argv) {
  const bool quick = quartzarch::bench::quick(argc, argv);
  quartzarch::bench::Figures figures("duty");
  // Usage: `bench_duty [--quick] [PART...]`; without PART, all parts run.
  const std::pair<const char*, void (*)(quartzarch::bench::Figures&, bool)> parts[] = {
      {"walks", quartzarch::benchmark_simulations},
      {"fleet", quartzarch::benchmark_large_fleet},
      {"writes", quartzarch::benchmark_writes},
      {"calls", quartzarch::benchmark_calls_during_elections},
      {"handovers", quartzarch::benchmark_hand_overs},
      {"files", quartzarch::benchmark_file_leases}};
  const bool any_named =
      std::any_of(argv + 1, argv + argc, [](const char* argument) { return argument[0] != '-'; });
  for (const auto& [name, part] : parts) {
    const bool named = std::any_of(
        argv + 1, argv + argc, [n = name](const char* argument) { return std::strcmp(argument, n) == 0; });
    if (named || !any_named) part(figures, quick);
  }
  figures.print_json();
}
