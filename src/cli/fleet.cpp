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
#include "register/voter_server.hpp"

namespace quartzarch::cli {
namespace {

using std::chrono::milliseconds;

constexpr Duration kPatience = milliseconds(3000);

// Asks one voter one thing on a connection of its own.
class Question : private Stream::Owner {
 public:
  Question(Loop& loop, const sockaddr_in& to, std::string frame)
      : stream_(std::make_shared<Stream>(loop, to, milliseconds(500), static_cast<Stream::Owner&>(*this),
                                         Priority::servers)) {
    stream_->send({std::move(frame), {}, 0});
  }
  ~Question() override { stream_->close(); }
  bool over() const { return over_; }
  // The answer's values; empty: there was none.
  const std::vector<std::string>& answer() const { return answer_; }

 private:
  void on_data(Stream& stream) override {
    link::LinkMessage message;
    std::size_t length = 0;
    const auto taken = link::decode(stream.input(), message, length);
    if (taken == link::Taken::part) return;
    if (taken == link::Taken::whole) answer_.assign(message.values.begin(), message.values.end());
    over_ = true;
  }
  void on_disconnected(Stream&, DisconnectReason) override { over_ = true; }

  std::shared_ptr<Stream> stream_;
  std::vector<std::string> answer_;
  bool over_ = false;
};

std::uint64_t seed() { return static_cast<std::uint64_t>(unix_time().count()); }

// Asks until it was done or the patience is over.
std::optional<reg::Reply> ask(const fleet::FleetSettings& settings, const reg::Command& command) {
  Loop loop(steady_time);
  reg::Client client(loop, fleet::addresses(settings), seed());
  std::optional<reg::Reply> reply;
  bool asked = false;
  for (const Time until = loop.now() + kPatience; !reply && loop.now() < until;) {
    if (!std::exchange(asked, true)) {
      client.ask(command, [&](const std::optional<reg::Reply>& came) {
        reply = came;
        asked = came.has_value();
      });
    }
    client.pump();
    loop.pass(milliseconds(20));
  }
  return reply;
}

// What each voter says of itself, in the file's order; empty: it did not answer.
std::vector<std::vector<std::string>> ask_voters(const fleet::FleetSettings& settings) {
  Loop loop(steady_time);
  std::vector<std::unique_ptr<Question>> questions;
  for (const auto& voter : settings.voters) {
    questions.push_back(
        std::make_unique<Question>(loop, voter.address, reg::frame(reg::FrameType::status, 0, {})));
  }
  const auto open = [&] {
    return std::any_of(questions.begin(), questions.end(), [](const auto& each) { return !each->over(); });
  };
  for (const Time until = loop.now() + kPatience; open() && loop.now() < until;) loop.pass(milliseconds(20));
  std::vector<std::vector<std::string>> answers;
  for (const auto& each : questions) answers.push_back(each->answer());
  return answers;
}

// Everything under the prefix, in parts; false: no voter answered as the leader.
bool each_item(const fleet::FleetSettings& settings, std::string_view prefix,
               const std::function<void(const reg::Item&)>& take) {
  reg::Command command;
  command.op = reg::Op::list;
  command.name = prefix;
  for (bool more = true; more;) {
    const auto reply = ask(settings, command);
    if (!reply) return false;
    for (const reg::Item& item : reply->items) take(item);
    more = reply->more;
    if (more) command.value = reply->items.back().key;
  }
  return true;
}

int unreached() {
  std::fprintf(stderr, "no voter answered as the leader within %lld s\n",
               static_cast<long long>(kPatience / std::chrono::seconds(1)));
  return 1;
}

}  // namespace

FleetCommands::FleetCommands(CLI::App& app)
    : fleet_(app.add_subcommand("fleet", "the register that a fleet agrees on")),
      duty_(app.add_subcommand("duty", "duties that one controller holds at a time")) {
  const auto add = [&](CLI::App* group, const char* name, const char* what) {
    group->require_subcommand(1);
    CLI::App* const command = group->add_subcommand(name, what);
    command->add_option("--fleet", file_, "the fleet's file")->capture_default_str();
    return command;
  };
  const auto of_duty = [&](const char* name, const char* what) {
    CLI::App* const command = add(duty_, name, what);
    command->add_option("duty", duty_name_, "the duty's name")->required();
    return command;
  };
  init_ = add(fleet_, "init", "make this voter's part of a new register, once, at each of the voters");
  init_->add_option("--name", name_, "the controller's name among the voters")->required();
  status_ = add(fleet_, "status", "each voter: leader, term, log, sessions");
  status_->add_flag("--json", json_, "a line of JSON for each voter");
  sessions_ = add(fleet_, "sessions", "the controllers that are there");
  sessions_->add_flag("--json", json_, "a line of JSON for each session");
  remove_ = add(fleet_, "remove", "take out a voter that no controller's file names any more");
  remove_->add_option("voter", name_, "the voter's name")->required();
  lead_ =
      add(fleet_, "lead", "have leadership handed to another voter, as before work on the leader's machine");
  lead_->add_option("voter", name_, "the voter's name; none: whichever is nearest to the leader's log");
  list_ = add(duty_, "list", "all duties and who holds them");
  list_->add_flag("--json", json_, "a line of JSON for each duty");
  show_ = of_duty("show", "one duty");
  show_->add_flag("--json", json_, "JSON");
  move_ = of_duty("move", "have it handed to another controller");
  move_->add_option("to", to_, "the controller's name")->required();
  pause_ = of_duty("pause", "have it given up, and taken up by nobody");
  resume_ = of_duty("resume", "end the pause");
  hold_ = of_duty("hold", "run a program while the duty is held: duty hold NAME -- COMMAND");
  hold_->add_option("--name", name_, "this holder's name; as a rule the machine's");
  hold_->add_flag("--once", once_, "end when the program has ended with 0");
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
  if (remove_->parsed()) return ask_leader(settings, reg::FrameType::remove);
  if (lead_->parsed()) return ask_leader(settings, reg::FrameType::lead);
  if (hold_->parsed()) return hold(log, settings);
  if (list_->parsed() || show_->parsed()) return list(log, settings);
  return operate(log, settings);
}

int FleetCommands::init(Logger& log, const fleet::FleetSettings& settings) {
  if (!settings.voter(name_)) {
    log.line("configuration: %s: no voter is called \"%s\"", file_.c_str(), name_.c_str());
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
  std::printf("voter %s: a new register begins with %zu voters\n", name_.c_str(), settings.voters.size());
  return 0;
}

int FleetCommands::status(const fleet::FleetSettings& settings) {
  const auto answers = ask_voters(settings);
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
  const bool reached = each_item(settings, reg::kSessionPrefix, [this](const reg::Item& item) {
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
  return reached ? 0 : unreached();
}

int FleetCommands::ask_leader(const fleet::FleetSettings& settings, reg::FrameType what) {
  const auto answers = ask_voters(settings);
  const auto leads = std::find_if(answers.begin(), answers.end(),
                                  [](const auto& a) { return a.size() >= 10 && a[1] == "1"; });
  if (leads == answers.end()) return unreached();
  Loop loop(steady_time);
  const Question question(loop, settings.voters[static_cast<std::size_t>(leads - answers.begin())].address,
                          reg::frame(what, 0, {name_}));
  for (const Time until = loop.now() + kPatience; !question.over() && loop.now() < until;) {
    loop.pass(milliseconds(20));
  }
  if (question.answer().size() != 1) {
    std::fprintf(stderr, "the leader does not answer: whether it was done, \"fleet status\" tells\n");
    return 1;
  }
  const std::string& wrong = question.answer().front();
  if (!wrong.empty()) std::fprintf(stderr, "%s: %s\n", name_.empty() ? "-" : name_.c_str(), wrong.c_str());
  return wrong.empty() ? 0 : 1;
}

int FleetCommands::list(Logger&, const fleet::FleetSettings& settings) {
  std::size_t shown = 0;
  if (!json_) std::printf("%-24s %-16s %10s  %s\n", "duty", "holder", "token", "");
  const bool reached = each_item(settings, reg::kDutyPrefix, [&](const reg::Item& item) {
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
  if (!reached) return unreached();
  return show_->parsed() && shown == 0 ? 1 : 0;
}

int FleetCommands::operate(Logger&, const fleet::FleetSettings& settings) {
  reg::Command command;
  command.name = duty_name_;
  command.op = move_->parsed() ? reg::Op::move : reg::Op::pause;
  command.value = to_;
  command.number = pause_->parsed() ? 1 : 0;
  const auto reply = ask(settings, command);
  if (!reply) return unreached();
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
                      seed() ^ static_cast<std::uint64_t>(::getpid()));
  duty::Runner runner(loop, log, member, duty_name_, command_, settings.ending);
  member.set_work(duty_name_, runner);
  member.start();
  while (!signals.stop_requested_at() && !(once_ && runner.done())) loop.pass(milliseconds(200));
  member.leave();
  // The program has the lease's time to end, and no longer.
  for (const Time until = loop.now() + settings.ttl + milliseconds(500);
       !member.left() && loop.now() < until;) {
    loop.pass(milliseconds(10));
  }
  return 0;
}

}  // namespace quartzarch::cli
