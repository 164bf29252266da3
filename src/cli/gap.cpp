#include "cli/gap.hpp"

#include <simdjson.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "config.hpp"
#include "control/client.hpp"
#include "gap/rule.hpp"
#include "json_text.hpp"
#include "net/stream.hpp"

namespace quartzarch::cli {
namespace {

// How long an instance may take to answer.
constexpr std::chrono::milliseconds kRequestTimeout{5000};

std::string json_array(const std::vector<std::string>& values) {
  std::string out;
  for (const std::string& each : values) out += (out.empty() ? "" : ",") + json_quoted(each);
  return "[" + out + "]";
}

std::string format_number(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.10g", value);
  return out;
}

// The beginning of a control request, up to its operation.
std::string request_head(const char* op) { return "{\"v\":1,\"op\":\"" + std::string(op) + "\""; }

// 0 if the member is missing or not an integer.
std::int64_t integer_field(simdjson::dom::element from, const char* name) {
  std::int64_t value = 0;
  return from[name].get(value) == simdjson::SUCCESS ? value : 0;
}

// Empty if the member is missing or not a string.
std::string string_field(simdjson::dom::element from, const char* name) {
  std::string_view value;
  return from[name].get(value) == simdjson::SUCCESS ? std::string(value) : std::string();
}

}  // namespace

GapCommand::GapCommand(CLI::App& app)
    : command_(app.add_subcommand("gap", "manage call gaps on running instances")) {
  command_->require_subcommand(1);
  const char* const user = std::getenv("USER");
  who_ = user ? user : "";
  const auto add_command = [&](const char* name, const char* what) {
    CLI::App* const command = command_->add_subcommand(name, what);
    command->add_option("--control", instances_, "addresses of the instances' control connections")
        ->capture_default_str();
    command->add_flag("--json", json_, "print one line of JSON for each instance");
    return command;
  };
  const auto add_match_options = [&](CLI::App* command) {
    command
        ->add_option("--number", number_, "called numbers: 7f3a, 7f3*, 7?3a, 1000..1999; separated by commas")
        ->capture_default_str();
    command->add_option("--front", front_, "binary or sip")->check(CLI::IsMember({"binary", "sip"}));
  };
  const auto add_audit_options = [&](CLI::App* command) {
    command->add_option("--who", who_, "for the audit log")->capture_default_str();
    command->add_option("--why", why_, "for the audit log");
  };
  add_ = add_command("add", "add a gap, or change the one with that ID");
  add_->add_option("ID", id_, "the gap's ID");
  add_match_options(add_);
  add_audit_options(add_);
  add_->add_option("--file", file_,
                   "read the rules from a file, one JSON object a line; all are added or none");
  add_->add_option("--class", classes_, "only calls of these classes");
  add_->add_option("--caller", callers_, "only callers in these networks");
  add_->add_option("--try", try_, "only first tries or only repeated ones: first or repeat")
      ->check(CLI::IsMember({"first", "repeat"}));
  add_->add_option("--exempt-class", exempt_classes_, "classes that are exempt");
  add_->add_option("--exempt-caller", exempt_callers_, "networks that are exempt");
  auto* const interval =
      add_->add_option("--interval-ms", interval_ms_, "one call passes in each interval of this length");
  auto* const bucket = add_->add_option("--per-s", per_s_, "this many calls a second pass (token bucket)");
  add_->add_option("--burst", burst_, "with --per-s: size of the token bucket")->needs(bucket);
  auto* const percentage =
      add_->add_option("--percentage", percentage_, "this percentage of first tries passes");
  auto* const block = add_->add_flag("--block", block_, "no call passes");
  interval->excludes(bucket)->excludes(percentage)->excludes(block);
  bucket->excludes(percentage)->excludes(block);
  percentage->excludes(block);
  add_->add_option("--start-s", start_in_s_, "starts in this many seconds");
  add_->add_option("--for-s", for_s_, "ends this many seconds after its start");
  add_->add_option("--weekly", weekly_, "weekly windows, for example \"mon,tue 08:30-10:00\", UTC");
  add_->add_option("--revision", revision_, "default: the next one");
  lift_ = add_command("lift", "remove a gap");
  lift_->add_option("ID", id_, "the gap's ID")->required();
  lift_->add_option("--revision", revision_, "revision of the removal; default: the next one");
  add_audit_options(lift_);
  list_ = add_command("list", "the gaps in force");
  show_ = add_command("show", "one gap with its counters");
  show_->add_option("ID", id_, "the gap's ID")->required();
  watch_ = add_command("watch", "print the counters once a second");
  watch_->add_option("--times", times_, "number of repetitions; default: no limit");
  suggest_ = add_command("suggest", "the numbers that are called too often");
  test_ = add_command("test", "show what would happen to a call, without placing it");
  add_match_options(test_);
  test_->add_option("--class", classes_, "the class of the call");
  test_->add_option("--caller", caller_, "the address of the caller");
  test_->add_flag("--repeat", repeat_, "treat it as a repeated try");
}

std::string GapCommand::add_request() const {
  if (!file_.empty()) {
    std::string rules, line;
    std::istringstream lines(read_file(file_));
    while (std::getline(lines, line)) {
      if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
      rules += (rules.empty() ? "" : ",") + line;
    }
    return request_head("gap.add") + ",\"rules\":[" + rules + "]}";
  }
  if (id_.empty()) throw gap::RuleError("add needs an ID or --file");
  std::string rule = "{\"id\":" + json_quoted(id_) + ",\"number\":" + json_quoted(number_);
  if (revision_ > 0) rule += ",\"revision\":" + std::to_string(revision_);
  if (!classes_.empty()) rule += ",\"class\":" + json_array(classes_);
  if (!callers_.empty()) rule += ",\"caller\":" + json_array(callers_);
  if (!front_.empty()) rule += ",\"front\":" + json_quoted(front_);
  if (!try_.empty()) rule += ",\"try\":" + json_quoted(try_);
  if (!exempt_classes_.empty()) rule += ",\"exempt_class\":" + json_array(exempt_classes_);
  if (!exempt_callers_.empty()) rule += ",\"exempt_caller\":" + json_array(exempt_callers_);
  std::string control;
  if (interval_ms_ != 0) control = "\"interval_ms\":" + format_number(interval_ms_);
  if (per_s_ != 0) control = "\"per_s\":" + format_number(per_s_);
  if (burst_ != 0) control += ",\"burst\":" + format_number(burst_);
  if (percentage_ >= 0) control = "\"percentage\":" + format_number(percentage_);
  if (block_) control = "\"block\":true";
  rule += ",\"control\":{" + control + "}";
  const auto now =
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
  if (start_in_s_ > 0) rule += ",\"start_s\":" + std::to_string(now.count() + start_in_s_);
  if (for_s_ > 0)
    rule += ",\"end_s\":" + std::to_string(now.count() + std::max<std::int64_t>(start_in_s_, 0) + for_s_);
  if (!weekly_.empty()) rule += ",\"weekly\":" + json_array(weekly_);
  if (!who_.empty()) rule += ",\"who\":" + json_quoted(who_);
  if (!why_.empty()) rule += ",\"why\":" + json_quoted(why_);
  rule += "}";
  gap::parse_rule(rule);  // reports an error before anything is sent to an instance
  return request_head("gap.add") + ",\"rule\":" + rule + "}";
}

std::string GapCommand::test_request() const {
  return request_head("gap.test") + ",\"number\":" + json_quoted(number_) +
         (classes_.empty() ? "" : ",\"class\":" + json_quoted(classes_.front())) +
         (caller_.empty() ? "" : ",\"caller\":" + json_quoted(caller_)) +
         (front_.empty() ? "" : ",\"front\":" + json_quoted(front_)) + (repeat_ ? ",\"repeat\":true" : "") +
         "}";
}

void GapCommand::print(const std::string& instance, const std::string& reply) const {
  if (json_) {
    std::printf("%s\n", reply.c_str());
    return;
  }
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  bool ok = false;
  if (parser.parse(reply).get(root) != simdjson::SUCCESS || root["ok"].get(ok) != simdjson::SUCCESS) {
    std::printf("%s: unreadable reply\n", instance.c_str());
    return;
  }
  if (!ok) {
    std::printf("%s: refused: %s\n", instance.c_str(), string_field(root, "error").c_str());
    return;
  }
  simdjson::dom::array items;
  if (root["gaps"].get(items) == simdjson::SUCCESS) {
    std::printf("%s\n", instance.c_str());
    std::printf("  %-16s %-20s %-28s %9s %9s %9s %9s %7s %7s\n", "id", "number", "lets pass", "offered",
                "passed", "refused", "repeated", "kept", "early");
    for (const simdjson::dom::element each : items) {
      std::printf("  %-16s %-20s %-28s %9lld %9lld %9lld %9lld %7lld %7lld\n",
                  string_field(each["rule"].value(), "id").c_str(),
                  string_field(each["rule"].value(), "number").substr(0, 20).c_str(),
                  string_field(each, "says").c_str(), static_cast<long long>(integer_field(each, "offered")),
                  static_cast<long long>(integer_field(each, "passed")),
                  static_cast<long long>(integer_field(each, "refused")),
                  static_cast<long long>(integer_field(each, "repeated")),
                  static_cast<long long>(integer_field(each, "kept")),
                  static_cast<long long>(integer_field(each, "early")));
    }
    return;
  }
  if (root["numbers"].get(items) == simdjson::SUCCESS) {
    std::printf("%s: %lld calls in %lld s\n", instance.c_str(),
                static_cast<long long>(integer_field(root, "calls")),
                static_cast<long long>(integer_field(root, "window_ms") / 1000));
    for (const simdjson::dom::element each : items) {
      std::printf("  %-24s offered %8lld (at most %lld too many)  answered %8lld  refused %8lld\n",
                  string_field(each, "number").c_str(),
                  static_cast<long long>(integer_field(each, "offered")),
                  static_cast<long long>(integer_field(each, "error")),
                  static_cast<long long>(integer_field(each, "answered")),
                  static_cast<long long>(integer_field(each, "refused")));
    }
    return;
  }
  if (bool passes = false; root["passes"].get(passes) == simdjson::SUCCESS) {
    std::printf("%s: %s%s\n", instance.c_str(), passes ? "passes" : "refused by ",
                string_field(root, "refused_by").c_str());
    return;
  }
  std::printf("%s: done, revision %lld\n", instance.c_str(),
              static_cast<long long>(integer_field(root, "revision")));
}

int GapCommand::send_to_all(Logger& log, const std::string& line, bool quiet) const {
  int code = 0;
  for (const std::string& instance : instances_) {
    const auto address = parse_address(instance);
    if (!address) {
      log.line("\"%s\" is not an address", instance.c_str());
      return 2;
    }
    try {
      const std::string reply = control::Client(*address, kRequestTimeout).send_command(line);
      if (!quiet) print(instance, reply);
      if (reply.find("\"ok\":true") == std::string::npos) code = 1;
    } catch (const std::runtime_error& error) {
      log.line("%s: %s", instance.c_str(), error.what());
      code = 1;
    }
  }
  return code;
}

int GapCommand::watch(Logger& log) const {
  int code = 0;
  for (std::int64_t i = 0; times_ == 0 || i < times_; ++i) {
    if (i > 0) std::this_thread::sleep_for(std::chrono::seconds(1));
    code = send_to_all(log, request_head("gap.list") + "}");
    std::fflush(stdout);
  }
  return code;
}

int GapCommand::run(Logger& log) const {
  try {
    if (add_->parsed()) return send_to_all(log, add_request());
    if (lift_->parsed()) {
      return send_to_all(log, request_head("gap.lift") + ",\"id\":" + json_quoted(id_) +
                                  (revision_ > 0 ? ",\"revision\":" + std::to_string(revision_) : "") +
                                  ",\"who\":" + json_quoted(who_) + ",\"why\":" + json_quoted(why_) + "}");
    }
    if (list_->parsed()) return send_to_all(log, request_head("gap.list") + "}");
    if (show_->parsed())
      return send_to_all(log, request_head("gap.list") + ",\"id\":" + json_quoted(id_) + "}");
    if (suggest_->parsed()) return send_to_all(log, request_head("gap.suggest") + "}");
    if (test_->parsed()) return send_to_all(log, test_request());
    return watch(log);
  } catch (const gap::RuleError& error) {
    log.line("gap: %s", error.what());
    return 2;
  } catch (const ConfigError& error) {
    log.line("gap: %s: %s", file_.c_str(), error.what());
    return 2;
  }
}

}  // namespace quartzarch::cli
