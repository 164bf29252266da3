// Duties measured: what a walk of a fleet in virtual time shows, beside the same faults without fences and
// with a lease counted naively; and what a write costs at 3 and 5 voters on real disks and loopback sockets.
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
#include "register/voter_server.hpp"
#include "setup_server/setup_server.hpp"

namespace quartzarch {
namespace {

using bench::Figures;
using std::chrono::milliseconds;

double ms(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

// The same seeds three times: as it is, with a place that takes every write, and with the lease counted from
// the answer.
void walks(Figures& figures, bool quick) {
  const std::uint64_t count = quick ? 20 : 200;
  std::uint64_t faults = 0, overlaps = 0, no_fence = 0, naive_lease = 0, effects = 0, lost = 0;
  std::vector<double> gaps;
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    faults::SimulationSettings settings;
    settings.seed = seed;
    settings.faults_per_second = 3;
    settings.late_share = 0.02;
    const faults::WalkResult seen = faults::walk(settings);
    faults += seen.faults;
    effects += seen.effects;
    overlaps += seen.violation.find("two hold") != std::string::npos ||
                seen.violation.find("older holding") != std::string::npos;
    lost += seen.violation.find("acknowledged") != std::string::npos;
    for (const Duration gap : seen.gaps) gaps.push_back(ms(gap));
    settings.resource_ignores_tokens = true;
    no_fence += !faults::walk(settings).violation.empty();
    settings.resource_ignores_tokens = false;
    settings.lease_from_reply = settings.controller_pauses_only = true;
    naive_lease += !faults::walk(settings).violation.empty();
  }
  figures.add("walks", static_cast<double>(count),
              "60 s of a fleet each: 3 voters, 5 controllers, 3 duties, leases of 1.5 s");
  figures.add("walk_faults", static_cast<double>(faults));
  figures.add("walk_effects", static_cast<double>(effects));
  figures.add("overlaps", static_cast<double>(overlaps), "two holders, or their effects interleaved");
  figures.add("lost_writes", static_cast<double>(lost));
  figures.add("naive_overlaps", static_cast<double>(no_fence),
              "walks with interleaved effects where the place looks at no token");
  figures.add("naive_lease_overlaps", static_cast<double>(naive_lease),
              "walks with a fault where the lease counts from the answer");
  figures.add("without_holder_p50_ms", bench::percentile(gaps, 0.5),
              "in the walks: also while a majority is gone");
  figures.add("without_holder_p99_ms", bench::percentile(gaps, 0.99));
}

// Voters on a loop and thread of their own, as in serving processes.
class Voters {
 public:
  explicit Voters(int count) {
    std::string pattern = (std::filesystem::temp_directory_path() / "bench-duty-XXXXXX").string();
    directory_ = ::mkdtemp(pattern.data());
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
        while (!ending_) loop.pass(milliseconds(20));
      });
    }
  }
  ~Voters() {
    ending_ = true;
    for (std::thread& thread : threads_) thread.join();
    std::fclose(quiet_);
    std::filesystem::remove_all(directory_);
  }
  const std::map<std::string, sockaddr_in>& addresses() const { return addresses_; }

 private:
  std::string directory_;
  std::map<std::string, sockaddr_in> addresses_;
  std::FILE* quiet_ = std::fopen("/dev/null", "w");
  Logger log_{quiet_};
  std::atomic<bool> ending_{false};
  std::vector<std::thread> threads_;
};

// `width` commands on their way at a time: one for the time of a write, many for how many go in a second.
std::vector<double> write(const Voters& voters, std::size_t count, std::size_t width, double& per_second) {
  Loop loop(steady_time);
  reg::Client client(loop, voters.addresses(), 1);
  std::vector<double> times;
  std::size_t sent = 0, on_way = 0;
  bool warm = false;
  Time began = loop.now();
  const auto put = [&](auto&& self) -> void {
    reg::Command command;
    command.op = reg::Op::put;
    command.name = "key" + std::to_string(sent % 64);
    command.value = std::string(100, 'x');
    ++sent;
    ++on_way;
    client.ask(std::move(command), [&, self, at = steady_time()](const std::optional<reg::Reply>& reply) {
      --on_way;
      if (!reply) return;
      if (std::exchange(warm, true)) times.push_back(ms(steady_time() - at));
      if (times.empty()) began = steady_time();
      if (times.size() + on_way < count) self(self);
    });
  };
  while (times.size() < count) {
    while (on_way < (warm ? width : 1) && times.size() + on_way < count + 1) put(put);
    client.pump();
    loop.pass(milliseconds(50));
  }
  per_second = static_cast<double>(times.size()) / (ms(steady_time() - began) / 1000);
  return times;
}

void writes(Figures& figures, bool quick) {
  for (const int count : {3, 5}) {
    const Voters voters(count);
    const std::string at = "_" + std::to_string(count) + "_voters";
    double per_second = 0;
    const auto times = write(voters, quick ? 200 : 2000, 1, per_second);
    figures.add("write_ms_p50" + at, bench::percentile(times, 0.5), "SQLite, synchronous=FULL, loopback");
    figures.add("write_ms_p99" + at, bench::percentile(times, 0.99));
    write(voters, quick ? 2000 : 20000, 64, per_second);
    figures.add("writes_a_second" + at, per_second, "64 on their way");
  }
}

// A large fleet in virtual time; the middle 30 s of 50 without a third of its controllers.
void large_fleet(Figures& figures, bool quick) {
  faults::SimulationSettings settings;
  settings.controllers = quick ? 60 : 300;
  settings.duties = quick ? 16 : 64;
  settings.ttl = milliseconds(3000);
  settings.fault_phase = std::chrono::seconds(50);
  settings.settle_timeout = std::chrono::seconds(10);
  settings.partition_third = true;
  settings.loss_share = settings.late_share = 0;
  const faults::WalkResult seen = faults::walk(settings);
  const double length = 60;
  std::vector<double> gaps;
  for (const Duration gap : seen.gaps) gaps.push_back(ms(gap));
  figures.add("fleet_controllers", settings.controllers,
              "virtual time, leases of 3 s, a third cut off for 30 s");
  figures.add("fleet_duties", settings.duties);
  figures.add("fleet_faults", !seen.violation.empty(), seen.violation.c_str());
  figures.add("fleet_messages_a_controller_s",
              static_cast<double>(seen.client_messages) / length / settings.controllers, "sent by it");
  figures.add("fleet_duty_messages_a_controller_s",
              static_cast<double>(seen.duty_messages) / length / settings.controllers,
              "of them for its session and duties; the rest is what the duties here write");
  figures.add("fleet_bytes_a_controller_s",
              static_cast<double>(seen.client_bytes) / length / settings.controllers);
  figures.add("fleet_messages_leader_s", static_cast<double>(seen.leader_messages) / length, "sent by it");
  figures.add("fleet_bytes_leader_s", static_cast<double>(seen.leader_bytes) / length);
  figures.add("fleet_holdings", static_cast<double>(seen.holdings), "taken up, the first ones among them");
  figures.add("fleet_without_holder_worst_ms", bench::percentile(gaps, 1));
}

// ---- Hand-overs between processes of the program

std::int64_t real_us() { return unix_time().count(); }

struct Effect {
  unsigned long long token = 0;
  std::int64_t at_us = 0;
};

// Standard error goes beside the configuration's file, or nowhere.
pid_t spawn(const std::vector<std::string>& words, const std::string& configuration) {
  std::vector<std::string> kept = words;
  kept.insert(kept.begin(), QUARTZARCH_PROGRAM);
  std::vector<char*> arguments;
  for (std::string& word : kept) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const pid_t child = ::fork();
  if (child != 0) return child;
  ::setenv("NODE_CONFIG", configuration.c_str(), 1);
  ::freopen(configuration.empty() ? "/dev/null" : (configuration + ".log").c_str(), "w", stderr);
  ::dup2(2, 1);
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

// Holders of one duty as processes, each with a relay of its own to every voter. What they hold writes the
// token and the time into one file, again and again.
class Holders {
 public:
  explicit Holders(const Voters& voters) {
    std::string pattern = (std::filesystem::temp_directory_path() / "bench-hold-XXXXXX").string();
    directory_ = ::mkdtemp(pattern.data());
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
  ~Holders() {
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
  void signal(const std::string& name, int number) { ::kill(children_.at(name), number); }
  void end(const std::string& name, int number) {
    signal(name, number);
    ::waitpid(children_.at(name), nullptr, 0);
    children_.erase(name);
  }
  void cut(const std::string& name, bool cut) {
    for (const auto& relay : relays_.at(name)) cut ? relay->hold(faults::Direction::both) : relay->restore();
  }
  std::vector<Effect> effects() const {
    std::ifstream file(directory_ + "/effects");
    std::vector<Effect> all;
    for (Effect each; file >> each.token >> each.at_us;) all.push_back(each);
    return all;
  }
  // The first effect under a token over this one.
  Effect next(unsigned long long token) const {
    for (int i = 0; i < 4000; ++i) {
      const auto all = effects();
      if (!all.empty() && all.back().token > token) {
        return *std::find_if(all.begin(), all.end(), [&](const Effect& each) { return each.token > token; });
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
    std::fprintf(stderr, "no holder came\n");
    std::exit(1);
  }

 private:
  std::string directory_;
  std::map<std::string, std::vector<std::unique_ptr<faults::Relay>>> relays_;
  std::map<std::string, pid_t> children_;
};

// h1 holds, something happens to it, h2 takes up: from what happened until the first effect of h2.
void hand_overs(Figures& figures, bool quick) {
  const int rounds = quick ? 3 : 50;
  const Voters voters(3);
  std::uint64_t faults = 0, overlaps = 0;
  for (const char* const what : {"killed", "stopped", "cut", "in_order"}) {
    std::vector<double> times, without;
    for (int round = 0; round < rounds; ++round) {
      Holders holders(voters);
      holders.start("h1");
      const auto first = holders.next(0).token;
      holders.start("h2");
      std::this_thread::sleep_for(milliseconds(300));
      const std::int64_t began = real_us();
      const std::string how = what;
      if (how == "killed") holders.end("h1", SIGKILL);
      if (how == "stopped") holders.signal("h1", SIGSTOP);
      if (how == "cut") holders.cut("h1", true);
      if (how == "in_order") holders.signal("h1", SIGTERM);
      const Effect taken = holders.next(first);
      if (how == "stopped") holders.signal("h1", SIGCONT);
      if (how == "cut") holders.cut("h1", false);
      std::this_thread::sleep_for(milliseconds(100));
      std::int64_t last = 0;
      unsigned long long newest = 0;
      bool interleaved = false;
      for (const Effect& each : holders.effects()) {
        if (each.token == first) last = std::max(last, each.at_us);
        interleaved = interleaved || each.token < newest;
        newest = std::max(newest, each.token);
      }
      ++faults;
      overlaps += interleaved;
      times.push_back(static_cast<double>(taken.at_us - began) / 1000);
      without.push_back(static_cast<double>(taken.at_us - last) / 1000);
    }
    const std::string name = std::string("handover_ms_") + what;
    figures.add(name + "_p50", bench::percentile(times, 0.5), "until the successor's first effect");
    figures.add(name + "_p99", bench::percentile(times, 0.99));
    figures.add(std::string("without_holder_ms_") + what + "_worst", bench::percentile(without, 1),
                "from the last effect of the one to the first of the other");
  }
  figures.add("process_faults", static_cast<double>(faults), "leases of 1.5 s, 3 voters");
  figures.add("process_overlaps", static_cast<double>(overlaps));
}

// ---- Calls beside elections

// One serving process each: three of a fleet, all voters, or three that know of none.
class Serving {
 public:
  Serving(const std::string& directory, const sockaddr_in& setup_server, bool fleet) : directory_(directory) {
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
  ~Serving() {
    // Not in order: each would wait for its callers to come back and hear that their calls have ended.
    for (const pid_t child : children_) ::kill(child, SIGKILL);
    for (const pid_t child : children_) ::waitpid(child, nullptr, 0);
  }
  // Leadership goes to another voter. False: nobody led, or the leader refused.
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

// A connection to each process; one call after the other at a steady pace, from the request to the answer.
class Caller {
 public:
  Caller(const std::vector<sockaddr_in>& to, std::uint64_t first_call) : calls_(first_call) {
    for (const sockaddr_in& address : to) {
      Fd& fd = fds_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      const timeval patience{2, 0};
      ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
      for (int i = 0; i < 2000; ++i) {
        if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) break;
        std::this_thread::sleep_for(milliseconds(5));
      }
    }
  }
  // False: it does not stand, or no answer came. What else comes on the connection (ends of earlier calls) is
  // read over.
  bool call(std::vector<double>& took) {
    const Fd& fd = fds_[++calls_ % fds_.size()];
    const std::string bytes = binary_call(calls_);
    const Time began = steady_time();
    if (::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) return false;
    for (;;) {
      unsigned char head[2] = {};
      if (::recv(fd.get(), head, sizeof head, MSG_WAITALL) != sizeof head) return false;
      std::string body(static_cast<std::size_t>(head[0] << 8 | head[1]), '\0');
      if (::recv(fd.get(), body.data(), body.size(), MSG_WAITALL) != static_cast<ssize_t>(body.size()))
        return false;
      if (body.compare(1, 8, bytes, 3, 8) != 0) continue;
      took.push_back(ms(steady_time() - began));
      return body[0] == 9;
    }
  }

 private:
  std::vector<Fd> fds_;
  std::uint64_t calls_;
};

void calls_beside_elections(Figures& figures, bool quick) {
  std::string pattern = (std::filesystem::temp_directory_path() / "bench-calls-XXXXXX").string();
  const std::string directory = ::mkdtemp(pattern.data());
  std::filesystem::create_directory(directory + "/without");
  standin::SetupServer::Options options;
  options.listen = *parse_address("127.0.0.1:0");
  options.setup_work = milliseconds(1);
  standin::SetupServer server(options);
  std::vector<double> with, without;
  int failed = 0, elections = 0;
  {
    const Serving fleet(directory, server.address(), true),
        alone(directory + "/without", server.address(), false);
    Caller to_fleet(fleet.callers(), 1 << 24), to_alone(alone.callers(), 2 << 24);
    std::vector<double> warm;
    for (int i = 0; i < 100; ++i) failed += !to_fleet.call(warm) + !to_alone.call(warm);
    std::atomic<bool> ending{false};
    std::thread elector([&] {
      while (!ending) {
        elections += fleet.elect();
        for (int i = 0; i < 20 && !ending; ++i) std::this_thread::sleep_for(milliseconds(100));
      }
    });
    // In turn, call by call: what else the machine does meets both.
    auto next = std::chrono::steady_clock::now();
    for (int i = 0; i < (quick ? 2000 : 20000); ++i) {
      failed += !to_fleet.call(with);
      failed += !to_alone.call(without);
      next += milliseconds(4);
      std::this_thread::sleep_until(next);
    }
    ending = true;
    elector.join();
  }
  std::filesystem::remove_all(directory);
  figures.add("calls_p99_ratio", bench::percentile(with, 0.99) / bench::percentile(without, 0.99),
              "a call at a voter of a fleet, an election every 2 s, over one without --fleet");
  figures.add("calls_ms_p50", bench::percentile(with, 0.5));
  figures.add("calls_ms_p99", bench::percentile(with, 0.99));
  figures.add("calls_ms_p50_without", bench::percentile(without, 0.5));
  figures.add("calls_ms_p99_without", bench::percentile(without, 0.99));
  figures.add("calls_elections", elections);
  figures.add("calls_failed", failed);
}

// ---- Beside it: the file lease, as certificates have it without a fleet

// Two processes with one lease in a file; the holder writes its name and the time. `believes`: it looks
// at the lease before the work that leads to an effect, else right before the effect.
class FileHolders {
 public:
  explicit FileHolders(bool believes) {
    std::string pattern = (std::filesystem::temp_directory_path() / "bench-file-XXXXXX").string();
    directory_ = ::mkdtemp(pattern.data());
    for (const char* const name : {"1", "2"}) {
      const pid_t child = ::fork();
      if (child == 0) work(name, believes);
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

  void signal_first(int number) { ::kill(children_.front(), number); }
  std::string effects() const {
    std::ifstream file(directory_ + "/effects");
    return {std::istreambuf_iterator<char>(file), {}};
  }

 private:
  [[noreturn]] void work(const std::string& name, bool believes) const {
    acme::StateDirectory directory(directory_, {});
    acme::FileLease lease(directory, name, kLease);
    const auto now = [] { return std::chrono::floor<acme::Seconds>(std::chrono::system_clock::now()); };
    bool ours = false;
    for (;;) {
      const auto look = [&] { ours = ours ? lease.renew(now()) : lease.acquire(now()); };
      if (believes) look();
      std::this_thread::sleep_for(milliseconds(2));  // the work
      if (!believes) look();
      if (ours) std::ofstream(directory_ + "/effects", std::ios::app) << name;
    }
  }

  std::string directory_;
  std::vector<pid_t> children_;
};

// The holder stopped for longer than its lease and continued: effects of the one after those of the other.
void file_leases(Figures& figures, bool quick) {
  const int rounds = quick ? 3 : 25;
  int looked = 0, believed = 0;
  for (int round = 0; round < rounds; ++round) {
    FileHolders looks(false), believes(true);
    looks.signal_first(SIGSTOP);
    believes.signal_first(SIGSTOP);
    const auto taken = [](const FileHolders& holders) {
      return holders.effects().find('2') != std::string::npos;
    };
    while (!taken(looks) || !taken(believes)) std::this_thread::sleep_for(milliseconds(5));
    looks.signal_first(SIGCONT);
    believes.signal_first(SIGCONT);
    std::this_thread::sleep_for(milliseconds(300));
    looked += looks.effects().find("21") != std::string::npos;
    believed += believes.effects().find("21") != std::string::npos;
  }
  figures.add("file_lease_stops", rounds, "stopped beyond a lease of 2 s in a file, and continued");
  figures.add("file_lease_overlaps", looked, "the file looked at right before the effect");
  figures.add("naive_process_overlaps", believed, "looked at before 2 ms of work that leads to it");
}

}  // namespace
}  // namespace quartzarch

int main(int argc, char** argv) {
  const bool quick = quartzarch::bench::quick(argc, argv);
  quartzarch::bench::Figures figures("duty");
  // `bench_duty [--quick] [PART...]`: all of them, or those named.
  const std::pair<const char*, void (*)(quartzarch::bench::Figures&, bool)> parts[] = {
      {"walks", quartzarch::walks},          {"fleet", quartzarch::large_fleet},
      {"writes", quartzarch::writes},        {"calls", quartzarch::calls_beside_elections},
      {"handovers", quartzarch::hand_overs}, {"files", quartzarch::file_leases}};
  const bool some = std::any_of(argv + 1, argv + argc, [](const char* word) { return word[0] != '-'; });
  for (const auto& [name, part] : parts) {
    const bool named = std::any_of(argv + 1, argv + argc,
                                   [n = name](const char* word) { return std::strcmp(word, n) == 0; });
    if (named || !some) part(figures, quick);
  }
  figures.print_json();
}
