#include "fleet/gap_list.hpp"

namespace quartzarch::fleet {
namespace {

constexpr std::string_view kPrefix = "gap/";
constexpr Duration kAgain = std::chrono::milliseconds(100);
constexpr Duration kSweep = std::chrono::seconds(2);
constexpr Duration kPass = std::chrono::milliseconds(20);

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

GapList::GapList(Logger& log, Membership& fleet, Duration patience)
    : log_(log), fleet_(fleet), patience_(patience) {}

GapList::~GapList() {
  if (!loop_) return;
  if (again_) loop_->cancel(*again_);
  if (sweep_) loop_->cancel(*sweep_);
  mailbox_->close();
}

bool GapList::begin(Loop& loop, std::vector<LocalEntry> known, UpdateHandler take) {
  loop_ = &loop;
  take_ = std::move(take);
  mailbox_ = std::make_shared<Mailbox>(loop);
  for (LocalEntry& each : known) ledger_.restore(each.id, std::move(each.entry), each.agreed);
  fleet_.watch(std::string(kPrefix), [this, mailbox = mailbox_](
                                         reg::Revision, const std::vector<reg::Change>& changes, bool whole) {
    mailbox->post([this, changes, whole] { told(changes, whole); });
  });
  for (const Time until = loop.now() + patience_; !known_ && loop.now() < until;) loop.pass(kPass);
  sweep();
  return known_;
}

std::optional<gap::ListReplica::ListedEntry> GapList::shown(const std::string& key,
                                                            const std::optional<std::string>& value,
                                                            reg::Revision revision) {
  gap::ListReplica::ListedEntry shown{key.substr(kPrefix.size()), std::nullopt, revision};
  if (!value) return shown;
  shown.entry = gap::parse_entry(*value);
  if (shown.entry) return shown;
  log_.line("gap=%s event=unreadable place=%llu", shown.id.c_str(),
            static_cast<unsigned long long>(revision));
  return std::nullopt;
}

void GapList::told(const std::vector<reg::Change>& changes, bool whole) {
  std::vector<gap::ListReplica::ListedEntry> entries;
  for (const reg::Change& change : changes) {
    if (auto entry = shown(change.key, change.value, change.revision)) entries.push_back(std::move(*entry));
  }
  known_ = known_ || whole;
  const auto news = ledger_.apply(entries, whole);
  if (!news.empty()) take_(news);
  pump();
}

void GapList::change(const std::string& id, gap::Entry entry) {
  ledger_.change(id, std::move(entry));
  pump();
}

void GapList::pump() {
  for (const auto& each : ledger_.next_writes(loop_->now())) write(each, std::nullopt);
  if (again_) loop_->cancel(*std::exchange(again_, std::nullopt));
  if (ledger_.pending_count() == 0) return;
  again_ = loop_->at(loop_->now() + kAgain, [this] {
    again_.reset();
    pump();
  });
}

void GapList::write(const gap::ListReplica::Write& write, std::optional<reg::Fence> fence) {
  reg::Command command;
  command.op = write.entry ? reg::Op::put : reg::Op::erase;
  command.name = std::string(kPrefix) + write.id;
  if (write.entry) command.value = gap::entry_text(*write.entry);
  command.expected = write.expected;
  command.fence = std::move(fence);
  fleet_.ask(std::move(command),
             [this, mailbox = mailbox_, id = write.id](const std::optional<reg::Reply>& reply) {
               mailbox->post([this, id, reply] { answered(id, reply); });
             });
}

void GapList::answered(const std::string& id, const std::optional<reg::Reply>& reply) {
  if (reply && reply->code == reg::Code::changed && !reply->items.empty()) {
    const reg::Item& item = reply->items.front();
    if (auto entry = shown(item.key, item.value, item.revision)) {
      const auto news = ledger_.apply({std::move(*entry)}, false);
      if (!news.empty()) take_(news);
    }
  }
  const auto outcome = outcome_of(reply);
  if (outcome == gap::ListReplica::Outcome::refused && !std::exchange(told_refused_, true)) {
    log_.line("gap=%s event=not_spread why=\"%s\"", id.c_str(), reg::code_text(reply->code));
  }
  ledger_.complete_write(loop_->now(), id, outcome, reply ? reply->revision : 0);
  if (outcome == gap::ListReplica::Outcome::done) take_({});
  pump();
}

// The list-keeper's work.
void GapList::sweep() {
  Office& office = fleet_.office(kGapsDuty);
  office.progressed();
  if (const auto token = office.holds()) {
    for (const auto& each : ledger_.sweep(loop_->now())) {
      log_.line("gap=%s event=taken_out token=%llu", each.id.c_str(),
                static_cast<unsigned long long>(*token));
      write(each, reg::Fence{kGapsDuty, *token});
    }
  }
  sweep_ = loop_->at(loop_->now() + kSweep, [this] { sweep(); });
}

}  // namespace quartzarch::fleet
