#include "control_service.hpp"

#include <fcntl.h>
#include <sys/stat.h>

#include <cerrno>
#include <cstring>
#include <set>
#include <sstream>

#include "config.hpp"
#include "json_text.hpp"
#include "settings_file.hpp"

namespace quartzarch {
namespace {

constexpr const char* kRulesFile = "gaps.rules";
constexpr const char* kAuditFile = "audit.log";
constexpr Duration kSweepInterval = std::chrono::milliseconds(500);
constexpr std::size_t kMaxSuggestions = 20;

std::string text_of(simdjson::dom::element from, const char* key) {
  std::string_view value;
  return from[key].get(value) == simdjson::SUCCESS ? std::string(value) : std::string();
}

std::string required_text(simdjson::dom::element from, const char* key) {
  std::string value = text_of(from, key);
  if (value.empty()) throw control::CommandError("\"" + std::string(key) + "\" is missing");
  return value;
}

std::string ms(Duration duration) { return std::to_string(duration / std::chrono::milliseconds(1)); }

// Appends a line and syncs it to disk; the file is readable by its owner only.
void append(const std::string& path, const std::string& line) {
  const Fd fd(
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | O_NOFOLLOW, S_IRUSR | S_IWUSR));
  if (!fd || ::write(fd.get(), line.data(), line.size()) != static_cast<ssize_t>(line.size()) ||
      ::fdatasync(fd.get()) != 0) {
    throw std::runtime_error(path + ": " + std::strerror(errno));
  }
}

}  // namespace

ControlSettings parse_control(std::string_view source) {
  using namespace settings_file;
  ControlSettings settings;
  read(source, [&](const toml::table& table) {
    read_keys(table,
              {{"listen",
                [&](const toml::node& n, const std::string& k) {
                  settings.listen = address(n, k);
                  if (ntohl(settings.listen.sin_addr.s_addr) >> 24 != 127)
                    fail(n, k, "is not a loopback address");
                }},
               {"directory",
                [&](const toml::node& n, const std::string& k) { settings.directory = text(n, k, 4096); }},
               {"longest_wait_ms",
                [&](const toml::node& n, const std::string& k) {
                  settings.gaps.longest_wait = std::chrono::milliseconds(number(n, k, 1, 3600000));
                }},
               {"grace_ms",
                [&](const toml::node& n, const std::string& k) {
                  settings.gaps.grace = std::chrono::milliseconds(number(n, k, 1, 60000));
                }},
               {"slots",
                [&](const toml::node& n, const std::string& k) {
                  settings.gaps.slots = static_cast<std::size_t>(number(n, k, 0, 10000000));
                }},
               {"counters",
                [&](const toml::node& n, const std::string& k) {
                  settings.sketch.counters = static_cast<std::size_t>(number(n, k, 1, 100000));
                }},
               {"pane_s",
                [&](const toml::node& n, const std::string& k) {
                  settings.sketch.pane = std::chrono::seconds(number(n, k, 1, 3600));
                }}},
              {"listen", "directory"});
  });
  return settings;
}

ControlService::ControlService(Loop& loop, Logger& log, Planner& planner, const ControlSettings& settings,
                               std::uint64_t seed, std::unique_ptr<gap::SharedList> shared_list)
    : loop_(loop),
      log_(log),
      planner_(planner),
      state_(settings.directory, [&log](const std::string& line) { log.line("control: %s", line.c_str()); }),
      gate_(settings.gaps, settings.sketch, seed),
      writer_([&log](const std::string& line) { log.line("control: write failed: %s", line.c_str()); }),
      control_(loop, log, settings.listen),
      shared_list_(std::move(shared_list)) {
  auto stored = restore_rules();
  if (shared_list_) start_sharing(std::move(stored));
  planner_.set_admission_filter(&gate_);
  control_.on("gap.add", [this](Element request) { return add(request); });
  control_.on("gap.lift", [this](Element request) { return lift(request); });
  control_.on("gap.list", [this](Element request) { return list(request); });
  control_.on("gap.test", [this](Element request) { return test(request); });
  control_.on("gap.suggest", [this](Element request) { return suggest(request); });
  sweep();
  log_.line("control: listening at %s, %zu gaps in force", address_text(control_.address()).c_str(),
            gate_.table().size());
}

ControlService::~ControlService() {
  loop_.cancel(sweep_timer_);
  planner_.set_admission_filter(nullptr);
}

void ControlService::sweep() {
  for (const std::string& id : gate_.table().expire(loop_.now())) {
    log_.line("gap %s: end time reached, removed", id.c_str());
    audit("ended", id, gate_.table().revision(id), "", "its end");
    lifted_revisions_[id] = gate_.table().revision(id);  // the shared list's cleaner removes it from the list
    save_rules();
  }
  if (std::exchange(save_due_, false)) save_rules();
  sweep_timer_ = loop_.at(loop_.now() + kSweepInterval, [this] { sweep(); });
}

std::vector<gap::SharedList::LocalEntry> ControlService::restore_rules() {
  std::vector<gap::SharedList::LocalEntry> stored;
  const auto text = state_.read(kRulesFile);
  if (!text) return stored;
  std::istringstream lines(*text);
  std::set<std::string> agreed;
  for (std::string line; std::getline(lines, line);) {
    simdjson::dom::parser parser;
    simdjson::dom::element root;
    std::uint64_t revision = 0;
    bool listed = false;
    const bool read = parser.parse(line).get(root) == simdjson::SUCCESS;
    if (read && root["agreed"].get(listed) == simdjson::SUCCESS) {
      if (listed) agreed.insert(text_of(root, "id"));
      continue;
    }
    if (read && root["lifted"].get(revision) == simdjson::SUCCESS) {
      const std::string id = text_of(root, "id");
      lifted_revisions_[id] = revision;
      gate_.table().lift(id, revision, loop_.now());
      stored.push_back({id, {revision, {}}, false});
      continue;
    }
    try {
      gap::Rule rule = gap::parse_rule(line);
      stored.push_back({rule.id, {rule.revision, gap::to_json(rule)}, false});
      gate_.table().announce(std::move(rule), loop_.now());
    } catch (const gap::RuleError& error) {
      log_.line("control: stored gap ignored: %s", error.what());
    }
  }
  for (auto& each : stored) each.agreed = agreed.count(each.id) > 0;
  return stored;
}

// ---- The list shared with other controllers

void ControlService::start_sharing(std::vector<gap::SharedList::LocalEntry> stored) {
  const std::size_t own = gate_.table().size();
  if (shared_list_->begin(loop_, std::move(stored),
                          [this](const auto& updates) { apply_updates(updates); })) {
    log_.line("control: %zu gaps of the fleet's list", gate_.table().size());
  } else {
    log_.line("control: the fleet's list of gaps is out of reach; %zu gaps of the local file are in force",
              own);
  }
}

void ControlService::apply_updates(const std::vector<gap::ListReplica::Update>& updates) {
  const Time now = loop_.now();
  std::vector<std::string> new_ids;
  for (const auto& each : updates) {
    const std::string& id = each.id;
    if (each.superseded) {
      log_.line("gap %s: the rule announced here does not hold: the fleet's list has another one",
                id.c_str());
      audit("superseded", id, gate_.table().revision(id), "", "the fleet's list has another");
    }
    if (each.entry && !each.entry->lifted()) {
      try {
        gap::Rule rule = gap::parse_rule(each.entry->rule);
        const std::string who = rule.who, why = rule.why;
        if (gate_.table().apply_listed(std::move(rule), now) != gap::Table::AnnounceResult::taken) continue;
        lifted_revisions_.erase(id);
        new_ids.push_back(id);
        audit("taken over", id, each.entry->revision, who, why);
        if (updates.size() <= 10)
          log_.line("gap %s: announced at another controller by %s", id.c_str(), who.c_str());
      } catch (const gap::RuleError& error) {
        log_.line("gap %s: the rule of the fleet's list is ignored: %s", id.c_str(), error.what());
      }
      continue;
    }
    const std::uint64_t revision = each.entry ? each.entry->revision : gate_.table().revision(id);
    if (each.entry) {
      lifted_revisions_[id] = revision;
    } else {
      lifted_revisions_.erase(id);
    }
    if (!gate_.table().apply_listed_lift(id, revision, now)) continue;
    audit("lifted", id, revision, "", "in the fleet's list");
    if (updates.size() <= 10) log_.line("gap %s: lifted at another controller", id.c_str());
  }
  save_due_ = true;
  refuse_held_calls(new_ids);
}

// Calls that already wait for a server are subject to new rules as well.
void ControlService::refuse_held_calls(const std::vector<std::string>& new_ids) {
  if (new_ids.empty()) return;
  const Time now = loop_.now();
  planner_.recheck_held_calls([&](const Request& held) {
    std::optional<Duration> away;
    for (const std::string& id : new_ids) {
      if (!away) away = gate_.offer_to_rule(id, held, now);
    }
    return away;
  });
}

void ControlService::save_rules() {
  std::string text;
  const auto agreed = [&](const std::string& id) {
    if (shared_list_ && shared_list_->agreed(id))
      text += "{\"id\":" + json_quoted(id) + ",\"agreed\":true}\n";
  };
  for (const gap::Rule& each : gate_.table().rules()) {
    text += gap::to_json(each) + "\n";
    agreed(each.id);
  }
  for (const auto& [id, revision] : lifted_revisions_) {
    text += "{\"id\":" + json_quoted(id) + ",\"lifted\":" + std::to_string(revision) + "}\n";
    agreed(id);
  }
  if (!writer_.enqueue([this, text = std::move(text)] { state_.write(kRulesFile, text); })) {
    log_.line("control: the disk is too slow, the gaps in force are not saved");
  }
}

void ControlService::audit(const std::string& what, const std::string& id, std::uint64_t revision,
                           const std::string& who, const std::string& why) {
  std::string line = "{\"at_s\":" + std::to_string(loop_.now() / std::chrono::seconds(1)) +
                     ",\"what\":" + json_quoted(what) + ",\"id\":" + json_quoted(id) +
                     ",\"revision\":" + std::to_string(revision) + ",\"who\":" + json_quoted(who) +
                     ",\"why\":" + json_quoted(why) + "}\n";
  if (!writer_.enqueue([path = state_.path_of(kAuditFile), line = std::move(line)] { append(path, line); })) {
    log_.line("control: the disk is too slow, a change is missing from the audit log");
  }
}

// Announces one rule or a list of rules: unless all of them are valid, none is applied.
std::string ControlService::add(Element request) {
  std::vector<gap::Rule> rules;
  simdjson::dom::array list;
  if (request["rules"].get(list) == simdjson::SUCCESS) {
    std::size_t at = 0;
    for (const Element each : list) {
      try {
        rules.push_back(gap::parse_rule(simdjson::minify(each)));
      } catch (const gap::RuleError& error) {
        throw control::CommandError("rule " + std::to_string(at) + ": " + error.what());
      }
      ++at;
    }
  } else {
    Element rule;
    if (request["rule"].get(rule) != simdjson::SUCCESS) throw control::CommandError("\"rule\" is missing");
    rules.push_back(gap::parse_rule(simdjson::minify(rule)));
  }
  const Time now = loop_.now();
  std::size_t taken = 0, same = 0, older = 0;
  std::uint64_t last_revision = 0;
  std::vector<std::string> new_ids;
  for (gap::Rule& rule : rules) {
    // A rule without a revision gets the next one of its id.
    if (rule.revision == 0) rule.revision = gate_.table().revision(rule.id) + 1;
    const std::string id = rule.id, who = rule.who, why = rule.why, control = rule.control.str(),
                      number = rule.number, text = shared_list_ ? gap::to_json(rule) : std::string();
    const std::uint64_t revision = last_revision = rule.revision;
    switch (gate_.table().announce(std::move(rule), now)) {
      case gap::Table::AnnounceResult::taken:
        ++taken;
        new_ids.push_back(id);
        lifted_revisions_.erase(id);
        if (shared_list_) shared_list_->change(id, {revision, text});
        audit("announced", id, revision, who, why);
        if (rules.size() <= 10) {
          log_.line("gap %s: announced by %s: %s to %s", id.c_str(), who.c_str(), control.c_str(),
                    number.c_str());
        }
        break;
      case gap::Table::AnnounceResult::same:
        ++same;
        break;
      case gap::Table::AnnounceResult::older:
        ++older;
        break;
      case gap::Table::AnnounceResult::full:
        throw control::CommandError("there are too many rules");
    }
  }
  if (taken > 0) save_rules();
  if (rules.size() > 10) log_.line("gaps: %zu announced", taken);
  refuse_held_calls(new_ids);
  return ",\"taken\":" + std::to_string(taken) + ",\"same\":" + std::to_string(same) +
         ",\"older\":" + std::to_string(older) +
         (rules.size() == 1 ? ",\"revision\":" + std::to_string(last_revision) : "");
}

std::string ControlService::lift(Element request) {
  const std::string id = required_text(request, "id"), who = text_of(request, "who"),
                    why = text_of(request, "why");
  std::uint64_t revision = 0;
  if (request["revision"].get(revision) != simdjson::SUCCESS) revision = gate_.table().revision(id) + 1;
  const bool lifted = gate_.table().lift(id, revision, loop_.now());
  if (lifted) {
    lifted_revisions_[id] = revision;
    if (shared_list_) shared_list_->change(id, {revision, {}});
    save_rules();
    audit("lifted", id, revision, who, why);
    log_.line("gap %s: lifted by %s", id.c_str(), who.c_str());
  }
  return std::string(",\"lifted\":") + (lifted ? "true" : "false") +
         ",\"revision\":" + std::to_string(gate_.table().revision(id));
}

std::string ControlService::list(Element request) {
  const std::string only = text_of(request, "id");
  std::string all;
  for (const gap::Rule& rule : gate_.table().rules()) {
    if (!only.empty() && rule.id != only) continue;
    const auto counts = gate_.table().counts(rule.id);
    std::string waits;
    for (const auto& [upper, count] : counts->waits) {
      char bin[64];
      std::snprintf(bin, sizeof bin, "%s[%.4g,%llu]", waits.empty() ? "" : ",", upper,
                    static_cast<unsigned long long>(count));
      waits += bin;
    }
    const auto count_member = [](const char* name, std::uint64_t value) {
      return ",\"" + std::string(name) + "\":" + std::to_string(value);
    };
    all += (all.empty() ? "" : ",") + std::string("{\"rule\":") + gap::to_json(rule) +
           ",\"says\":" + json_quoted(rule.control.str()) +
           ",\"in_force\":" + (gap::in_force(rule, loop_.now()) ? "true" : "false") +
           (shared_list_ ? std::string(",\"agreed\":") + (shared_list_->agreed(rule.id) ? "true" : "false")
                         : "") +
           count_member("offered", counts->offered) + count_member("passed", counts->passed) +
           count_member("refused", counts->refused) + count_member("first", counts->first) +
           count_member("repeated", counts->repeated) + count_member("exempt", counts->exempt) +
           count_member("slots", counts->slots) + count_member("kept", counts->kept) +
           count_member("lapsed", counts->lapsed) + count_member("early", counts->early) + ",\"waits_ms\":[" +
           waits + "]}";
  }
  return ",\"gaps\":[" + all + "]";
}

std::string ControlService::test(Element request) {
  const std::string number = required_text(request, "number"), call_class = text_of(request, "class");
  const std::string caller = text_of(request, "caller").empty() ? "0.0.0.0" : text_of(request, "caller");
  boost::system::error_code error;
  const gap::Address address = boost::asio::ip::make_address(caller, error);
  if (error) throw control::CommandError("\"caller\" is not an IP address");
  bool repeat = false;
  if (request["repeat"].get(repeat) != simdjson::SUCCESS) repeat = false;
  const gap::FrontKind front =
      text_of(request, "front") == "sip" ? gap::FrontKind::sip : gap::FrontKind::binary;
  std::vector<std::string> asked;
  const gap::Verdict verdict =
      gate_.table().test(loop_.now(), {number, call_class, address, front, repeat}, &asked);
  std::string rules;
  for (const std::string& each : asked) rules += (rules.empty() ? "" : ",") + json_quoted(each);
  return std::string(",\"passes\":") + (verdict.pass ? "true" : "false") +
         ",\"refused_by\":" + json_quoted(verdict.rule) + ",\"asked\":[" + rules + "]";
}

std::string ControlService::suggest(Element) {
  gap::HeavyHitterWindow& heavy_hitters = gate_.heavy_hitters();
  const std::uint64_t total = heavy_hitters.total(loop_.now());
  std::string all;
  for (const gap::HeavyHitter& each : heavy_hitters.top(loop_.now(), kMaxSuggestions)) {
    all += (all.empty() ? "" : ",") + std::string("{\"number\":") + json_quoted(each.number) +
           ",\"offered\":" + std::to_string(each.offered) + ",\"error\":" + std::to_string(each.error) +
           ",\"answered\":" + std::to_string(each.answered) + ",\"refused\":" + std::to_string(each.refused) +
           "}";
  }
  return ",\"window_ms\":" + ms(heavy_hitters.window()) + ",\"calls\":" + std::to_string(total) +
         ",\"numbers\":[" + all + "]";
}

}  // namespace quartzarch
