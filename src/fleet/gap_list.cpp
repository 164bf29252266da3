#include "fleet/gap_list.hpp"

#include "register/commands.hpp"

namespace quartzarch::fleet {
namespace {

constexpr std::string_view kPrefix = "gap/";
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
constexpr Duration kSweepInterval = std::chrono::seconds(2);
constexpr Duration kMaxPoll = std::chrono::milliseconds(20);

gap::ListReplica::Outcome outcome_of(const std::optional<reg::Reply>& reply) {
  using Outcome = gap::ListReplica::Outcome;
  if (!reply) return Outcome::lost;
  switch (reply->code) {
    case reg::Code::ok:
      return Outcome::done;
    case reg::Code::changed:
    case reg::Code::absent:
      return Outcome::conflict;
    default:
      return Outcome::refused;
  }
}

}  // namespace

GapList::GapList(Logger& log, Membership& fleet, Duration start_timeout)
    : log_(log), fleet_(fleet), start_timeout_(start_timeout) {}

GapList::~GapList() {
  if (!loop_) return;
  if (retry_timer_) loop_->cancel(*retry_timer_);
  if (sweep_timer_) loop_->cancel(*sweep_timer_);
  mailbox_->close();
}

bool GapList::begin(Loop& loop, std::vector<LocalEntry> known, UpdateHandler on_update) {
  loop_ = &loop;
  on_update_ = std::move(on_update);
  mailbox_ = std::make_shared<Mailbox>(loop);
  for (LocalEntry& each : known) replica_.restore(each.id, std::move(each.entry), each.agreed);
  fleet_.watch(
      std::string(kPrefix),
      [this, mailbox = mailbox_](reg::Revision, const std::vector<reg::Change>& changes, bool complete) {
        mailbox->post([this, changes, complete] { on_changes(changes, complete); });
      });
  for (const Time until = loop.now() + start_timeout_; !list_received_ && loop.now() < until;)
    loop.pass(kMaxPoll);
  sweep();
  return list_received_;
}

std::optional<gap::ListReplica::ListedEntry> GapList::parse_change(const std::string& key,
                                                                   const std::optional<std::string>& value,
                                                                   reg::Revision revision) {
  gap::ListReplica::ListedEntry listed{key.substr(kPrefix.size()), std::nullopt, revision};
  if (!value) return listed;
  listed.entry = gap::parse_entry(*value);
  if (listed.entry) return listed;
  log_.line("gap=%s event=unreadable place=%llu", listed.id.c_str(),
            static_cast<unsigned long long>(revision));
  return std::nullopt;
}

void GapList::on_changes(const std::vector<reg::Change>& changes, bool complete) {
  std::vector<gap::ListReplica::ListedEntry> entries;
  for (const reg::Change& change : changes) {
    if (auto entry = parse_change(change.key, change.value, change.revision))
      entries.push_back(std::move(*entry));
  }
  list_received_ = list_received_ || complete;
  const auto updates = replica_.apply(entries, complete);
  if (!updates.empty()) on_update_(updates);
  pump();
}

void GapList::change(const std::string& id, gap::Entry entry) {
  replica_.change(id, std::move(entry));
  pump();
}

void GapList::pump() {
  for (const auto& each : replica_.next_writes(loop_->now())) write(each, std::nullopt);
  if (retry_timer_) loop_->cancel(*std::exchange(retry_timer_, std::nullopt));
  if (replica_.pending_count() == 0) return;
  retry_timer_ = loop_->at(loop_->now() + kRetryInterval, [this] {
    retry_timer_.reset();
    pump();
  });
}

void GapList::write(const gap::ListReplica::Write& write, std::optional<reg::Fence> fence) {
  const std::string key = std::string(kPrefix) + write.id;
  reg::Command command =
      write.entry ? reg::put_value(key, gap::entry_text(*write.entry)) : reg::erase_value(key);
  command.expected = write.expected;
  command.fence = std::move(fence);
  fleet_.ask(std::move(command),
             [this, mailbox = mailbox_, id = write.id](const std::optional<reg::Reply>& reply) {
               mailbox->post([this, id, reply] { on_reply(id, reply); });
             });
}

void GapList::on_reply(const std::string& id, const std::optional<reg::Reply>& reply) {
  if (reply && reply->code == reg::Code::changed && !reply->items.empty()) {
    const reg::Item& item = reply->items.front();
    if (auto entry = parse_change(item.key, item.value, item.revision)) {
      const auto updates = replica_.apply({std::move(*entry)}, false);
      if (!updates.empty()) on_update_(updates);
    }
  }
  const auto outcome = outcome_of(reply);
  if (outcome == gap::ListReplica::Outcome::refused && !std::exchange(logged_refusal_, true)) {
    log_.line("gap=%s event=not_spread why=\"%s\"", id.c_str(), reg::code_text(reply->code));
  }
  replica_.complete_write(loop_->now(), id, outcome, reply ? reply->revision : 0);
  if (outcome == gap::ListReplica::Outcome::done) on_update_({});
  pump();
}

// The work of the duty's holder: removes ended entries.
void GapList::sweep() {
  DutyHandle& duty = fleet_.duty_handle(kGapsDuty);
  duty.report_progress();
  if (const auto token = duty.holds()) {
    for (const auto& each : replica_.sweep(loop_->now())) {
      log_.line("gap=%s event=taken_out token=%llu", each.id.c_str(),
                static_cast<unsigned long long>(*token));
      write(each, reg::Fence{kGapsDuty, *token});
    }
  }
  sweep_timer_ = loop_->at(loop_->now() + kSweepInterval, [this] { sweep(); });
}

}  // namespace quartzarch::fleet
