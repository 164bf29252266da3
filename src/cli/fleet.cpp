#include "cli/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>

#include "config.hpp"
#include "duty/runner.hpp"
#include "fleet/membership.hpp"
#include "json_text.hpp"
#include "net/signals.hpp"
#include "register/commands.hpp"
#include "register/voter_server.hpp"

namespace quartzarch::cli {
namespace {

using std::chrono::milliseconds;

// How long a command waits for answers of the voters.
constexpr Duration kRequestTimeout = milliseconds(3000);

// Sends one request frame to one voter on a connection of its own.
class VoterQuery : private Stream::Owner {
 public:
  VoterQuery(Loop& loop, const sockaddr_in& to, std::string frame)
      : stream_(std::make_shared<Stream>(loop, to, milliseconds(500), static_cast<Stream::Owner&>(*this),
                                         Priority::servers)) {
    stream_->send({std::move(frame), {}, 0});
  }
  ~VoterQuery() override { stream_->close(); }
  bool finished() const { return finished_; }
  // The values of the answer; empty if there was none.
  const std::vector<std::string>& answer() const { return answer_; }

 private:
  void on_data(Stream& stream) override {
    link::LinkMessage message;
    std::size_t length = 0;
    const auto decoded = link::decode(stream.input(), message, length);
    if (decoded == link::DecodeResult::incomplete) return;
    if (decoded == link::DecodeResult::complete) answer_.assign(message.values.begin(), message.values.end());
    finished_ = true;
  }
  void on_disconnected(Stream&, DisconnectReason) override { finished_ = true; }

  std::shared_ptr<Stream> stream_;
  std::vector<std::string> answer_;
  bool finished_ = false;
};

std::uint64_t time_seed() { return static_cast<std::uint64_t>(unix_time().count()); }

// Sends a command to the register, and again after each attempt without a reply, until a reply arrives or
// kRequestTimeout has passed.
std::optional<reg::Reply> execute(const fleet::FleetSettings& settings, const reg::Command& command) {
  Loop loop(steady_time);
  reg::Client client(loop, fleet::addresses(settings), time_seed());
  std::optional<reg::Reply> reply;
  bool in_flight = false;
  for (const Time until = loop.now() + kRequestTimeout; !reply && loop.now() < until;) {
    if (!std::exchange(in_flight, true)) {
      client.ask(command, [&](const std::optional<reg::Reply>& received) {
        reply = received;
        in_flight = received.has_value();
      });
    }
    client.pump();
    loop.pass(milliseconds(20));
  }
  return reply;
}

// The status values of each voter, in the order of the settings file; empty for a voter that did not answer.
std::vector<std::vector<std::string>> query_voters(const fleet::FleetSettings& settings) {
  Loop loop(steady_time);
  std::vector<std::unique_ptr<VoterQuery>> queries;
  for (const auto& voter : settings.voters) {
    queries.push_back(
        std::make_unique<VoterQuery>(loop, voter.address, reg::frame(reg::FrameType::status, 0, {})));
  }
  const auto pending = [&] {
    return std::any_of(queries.begin(), queries.end(), [](const auto& each) { return !each->finished(); });
  };
  for (const Time until = loop.now() + kRequestTimeout; pending() && loop.now() < until;)
    loop.pass(milliseconds(20));
  std::vector<std::vector<std::string>> answers;
  for (const auto& each : queries) answers.push_back(each->answer());
  return answers;
}

// Reads all items whose keys have the prefix, page by page, and calls `visit` for each. Returns false if no
// voter answered as the leader.
bool for_each_item(const fleet::FleetSettings& settings, std::string_view prefix,
                   const std::function<void(const reg::Item&)>& visit) {
  std::string after;
  for (bool more = true; more;) {
    const auto reply = execute(settings, reg::list_values(std::string(prefix), after));
    if (!reply) return false;
    for (const reg::Item& item : reply->items) visit(item);
    more = reply->more;
    if (more) after = reply->items.back().key;
  }
  return true;
}

// Prints that no leader answered. Returns the exit code for it.
int report_no_leader() {
  std::fprintf(stderr, "no voter answered as the leader within %lld s\n",
               static_cast<long long>(kRequestTimeout / std::chrono::seconds(1)));
  return 1;
}

}  // namespace

FleetCommands::FleetCommands(CLI::App& app)
    : fleet_(app.add_subcommand("fleet", "show and administer the register that a fleet replicates")),
      duty_(app.add_subcommand("duty",
                               "show and administer the duties, each held by one controller at a time")) {
  const auto add_command = [&](CLI::App* group, const char* name, const char* what) {
    group->require_subcommand(1);
    CLI::App* const command = group->add_subcommand(name, what);
    command->add_option("--fleet", file_, "the fleet's settings file")->capture_default_str();
    return command;
  };
  const auto add_duty_command = [&](const char* name, const char* what) {
    CLI::App* const command = add_command(duty_, name, what);
    command->add_option("duty", duty_name_, "the duty's name")->required();
    return command;
  };
  init_ = add_command(fleet_, "init", "create this voter's part of a new register; run once on each voter");
  init_->add_option("--name", name_, "the controller's name among the voters")->required();
  status_ = add_command(fleet_, "status", "the state of each voter: leader, term, log, sessions");
  status_->add_flag("--json", json_, "a line of JSON for each voter");
  sessions_ = add_command(fleet_, "sessions", "the controllers that have a session");
  sessions_->add_flag("--json", json_, "a line of JSON for each session");
  remove_ =
      add_command(fleet_, "remove", "remove a voter that is no longer in any controller's settings file");
  remove_->add_option("voter", name_, "the voter's name")->required();
  lead_ = add_command(
      fleet_, "lead",
      "transfer leadership to another voter, for example before maintenance of the leader's machine");
  lead_->add_option("voter", name_,
                    "the voter's name; default: the voter whose log is closest to the leader's");
  list_ = add_command(duty_, "list", "all duties and their holders");
  list_->add_flag("--json", json_, "a line of JSON for each duty");
  show_ = add_duty_command("show", "one duty");
  show_->add_flag("--json", json_, "JSON");
  move_ = add_duty_command("move", "hand the duty over to another controller");
  move_->add_option("to", to_, "the controller's name")->required();
  pause_ = add_duty_command("pause", "make the holder release the duty, and let no controller take it");
  resume_ = add_duty_command("resume", "let controllers take a paused duty again");
  hold_ = add_duty_command("hold", "run a program while the duty is held: duty hold NAME -- COMMAND");
  hold_->add_option("--name", name_, "the name of this holder; default: the host name");
  hold_->add_flag("--once", once_, "exit when the program has exited with 0");
  hold_->add_option("command", command_, "the program and its arguments, after --")->required();
}

int FleetCommands::run(Logger& log) {
  fleet::FleetSettings settings;
  try {
    settings = fleet::parse_fleet(read_file(file_));
  } catch (const ConfigError& error) {
    log.line("configuration: %s: %s", file_.c_str(), error.what());
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  if (init_->parsed()) return init(log, settings);
  if (status_->parsed()) return status(settings);
  if (sessions_->parsed()) return sessions(settings);
  if (remove_->parsed()) return request_leader(settings, reg::FrameType::remove);
  if (lead_->parsed()) return request_leader(settings, reg::FrameType::lead);
  if (hold_->parsed()) return hold(log, settings);
  if (list_->parsed() || show_->parsed()) return list(log, settings);
  return change_duty(log, settings);
}

int FleetCommands::init(Logger& log, const fleet::FleetSettings& settings) {
  if (!settings.voter(name_)) {
    log.line("configuration: %s: no voter has the name \"%s\"", file_.c_str(), name_.c_str());
    return 2;
  }
  reg::VoterServer::Settings voter;
  voter.name = name_;
  voter.addresses = fleet::addresses(settings);
  voter.directory = settings.directory;
  try {
    reg::VoterServer::init(voter);
  } catch (const std::runtime_error& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
  std::printf("voter %s: created a new register with %zu voters\n", name_.c_str(), settings.voters.size());
  return 0;
}

// The values of an answer are those of the status frame in register/frames.hpp: name, leads, term, leader's
// name, last index, committed, applied, failed, sessions, revision, then (name, identity, votes) of each
// voter.
int FleetCommands::status(const fleet::FleetSettings& settings) {
  const auto answers = query_voters(settings);
  std::uint64_t newest = 0;
  for (const auto& a : answers) {
    if (a.size() >= 10) newest = std::max<std::uint64_t>(newest, std::strtoull(a[4].c_str(), nullptr, 10));
  }
  std::size_t answered = 0;
  if (!json_)
    std::printf("%-16s %-10s %6s %-16s %8s %8s %8s %8s %8s\n", "voter", "state", "term", "leader", "log",
                "applied", "behind", "revision", "sessions");
  for (std::size_t i = 0; i < answers.size(); ++i) {
    const std::string& name = settings.voters[i].name;
    const auto& a = answers[i];
    if (a.size() < 10) {
      if (json_) {
        std::printf("{\"voter\":%s,\"state\":\"unreachable\"}\n", json_quoted(name).c_str());
      } else {
        std::printf("%-16s %-10s\n", name.c_str(), "no answer");
      }
      continue;
    }
    ++answered;
    const auto behind = static_cast<unsigned long long>(
        newest - std::min(newest, std::uint64_t{std::strtoull(a[6].c_str(), nullptr, 10)}));
    std::size_t votes = 0;
    for (std::size_t at = 10; at + 2 < a.size(); at += 3) votes += a[at] == name && a[at + 2] == "1";
    const char* const state = a[7] == "1"   ? "failed"
                              : a[1] == "1" ? "leader"
                              : votes > 0   ? "follower"
                                            : "joining";
    if (json_) {
      std::printf(
          "{\"voter\":%s,\"state\":\"%s\",\"term\":%s,\"leader\":%s,\"log\":%s,\"applied\":%s,\"behind\":%"
          "llu,"
          "\"revision\":%s,\"sessions\":%s}\n",
          json_quoted(name).c_str(), state, a[2].c_str(), json_quoted(a[3]).c_str(), a[4].c_str(),
          a[6].c_str(), behind, a[9].c_str(), a[8].c_str());
    } else {
      std::printf("%-16s %-10s %6s %-16s %8s %8s %8llu %8s %8s\n", name.c_str(), state, a[2].c_str(),
                  a[3].empty() ? "-" : a[3].c_str(), a[4].c_str(), a[6].c_str(), behind, a[9].c_str(),
                  a[8].c_str());
    }
  }
  return answered * 2 > answers.size() ? 0 : 1;
}

int FleetCommands::sessions(const fleet::FleetSettings& settings) {
  if (!json_) std::printf("%-24s %s\n", "controller", "incarnation");
  const bool reached = for_each_item(settings, reg::kSessionPrefix, [this](const reg::Item& item) {
    const std::string key = item.key.substr(reg::kSessionPrefix.size());
    const auto slash = key.rfind('/');
    const std::string name = key.substr(0, slash), incarnation = key.substr(slash + 1);
    if (json_) {
      std::printf("{\"controller\":%s,\"incarnation\":%s,\"session\":%s}\n", json_quoted(name).c_str(),
                  incarnation.c_str(), item.value.c_str());
    } else {
      std::printf("%-24s %s\n", name.c_str(), incarnation.c_str());
    }
  });
  return reached ? 0 : report_no_leader();
}

int FleetCommands::request_leader(const fleet::FleetSettings& settings, reg::FrameType type) {
  const auto answers = query_voters(settings);
  const auto leader = std::find_if(answers.begin(), answers.end(),
                                   [](const auto& a) { return a.size() >= 10 && a[1] == "1"; });
  if (leader == answers.end()) return report_no_leader();
  Loop loop(steady_time);
  const VoterQuery query(loop, settings.voters[static_cast<std::size_t>(leader - answers.begin())].address,
                         reg::frame(type, 0, {name_}));
  for (const Time until = loop.now() + kRequestTimeout; !query.finished() && loop.now() < until;) {
    loop.pass(milliseconds(20));
  }
  if (query.answer().size() != 1) {
    std::fprintf(stderr,
                 "the leader did not answer; \"fleet status\" shows whether the request was carried out\n");
    return 1;
  }
  const std::string& problem = query.answer().front();
  if (!problem.empty())
    std::fprintf(stderr, "%s: %s\n", name_.empty() ? "-" : name_.c_str(), problem.c_str());
  return problem.empty() ? 0 : 1;
}

int FleetCommands::list(Logger&, const fleet::FleetSettings& settings) {
  std::size_t shown = 0;
  if (!json_) std::printf("%-24s %-16s %10s  %s\n", "duty", "holder", "token", "");
  const bool reached = for_each_item(settings, reg::kDutyPrefix, [&](const reg::Item& item) {
    const std::string name = item.key.substr(reg::kDutyPrefix.size());
    if (show_->parsed() && name != duty_name_) return;
    ++shown;
    const reg::Duty duty = reg::parse_duty(item.value);
    const std::string holder = duty.holder == 0 ? "" : duty.holder_name;
    if (json_) {
      std::printf("{\"duty\":%s,\"holder\":%s,\"token\":%llu,\"paused\":%s,\"kept_for\":%s,\"wanted\":%s}\n",
                  json_quoted(name).c_str(), json_quoted(holder).c_str(),
                  static_cast<unsigned long long>(duty.token), duty.paused ? "true" : "false",
                  json_quoted(duty.reserved).c_str(), json_quoted(duty.requested_holder).c_str());
      return;
    }
    std::string notes = duty.paused ? "paused " : "";
    if (!duty.reserved.empty()) notes += "kept for " + duty.reserved + " ";
    if (!duty.requested_holder.empty()) notes += "wanted at " + duty.requested_holder;
    std::printf("%-24s %-16s %10llu  %s\n", name.c_str(), holder.empty() ? "-" : holder.c_str(),
                static_cast<unsigned long long>(duty.token), notes.c_str());
  });
  if (!reached) return report_no_leader();
  return show_->parsed() && shown == 0 ? 1 : 0;
}

reg::Command FleetCommands::duty_command() const {
  if (move_->parsed()) return reg::move_duty(duty_name_, to_);
  return pause_->parsed() ? reg::pause_duty(duty_name_) : reg::resume_duty(duty_name_);
}

int FleetCommands::change_duty(Logger&, const fleet::FleetSettings& settings) {
  const auto reply = execute(settings, duty_command());
  if (!reply) return report_no_leader();
  if (reply->code == reg::Code::ok) return 0;
  std::fprintf(
      stderr, "%s: %s\n", duty_name_.c_str(),
      reply->code == reg::Code::absent ? "no duty of that name was ever held" : reg::code_text(reply->code));
  return 1;
}

int FleetCommands::hold(Logger& log, const fleet::FleetSettings& settings) {
  if (name_.empty()) {
    char host[256] = {};
    ::gethostname(host, sizeof host - 1);
    name_ = host;
  }
  Loop loop(steady_time);
  const Signals signals(loop);
  duty::Member member(loop, log, fleet::addresses(settings), fleet::lease_settings(settings, name_),
                      {fleet::duty_settings(settings, duty_name_, name_)},
                      time_seed() ^ static_cast<std::uint64_t>(::getpid()));
  duty::Runner runner(loop, log, member, duty_name_, command_, settings.ending);
  member.set_work(duty_name_, runner);
  member.start();
  while (!signals.stop_requested_at() && !(once_ && runner.done())) loop.pass(milliseconds(200));
  member.leave();
  // Waits for the program to end, for one lease period at most: the supervisor stops it before the lease
  // ends.
  for (const Time until = loop.now() + settings.ttl + milliseconds(500);
       !member.left() && loop.now() < until;) {
    loop.pass(milliseconds(10));
  }
  return 0;
}

}  // namespace quartzarch::cli
