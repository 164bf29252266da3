#include "duty/member.hpp"

namespace quartzarch::duty {

Member::Member(Loop& loop, Logger& log, std::map<std::string, sockaddr_in> voters, Settings settings,
               std::vector<DutySettings> duties, std::uint64_t seed)
    : loop_(loop), log_(log), client_(loop, std::move(voters), seed), leases_(settings, duties, seed) {
  for (const DutySettings& duty : duties) names_.push_back(duty.name);
  client_.watch(std::string(reg::kDutyPrefix),
                [this](reg::Revision, const std::vector<reg::Change>& changes, bool) {
                  for (const reg::Change& change : changes) {
                    if (!change.value) continue;
                    leases_.on_duty_changed(loop_.now(), change.key.substr(reg::kDutyPrefix.size()),
                                            change.revision, reg::parse_duty(*change.value));
                  }
                  drive();
                });
}

Member::~Member() {
  if (timer_) loop_.cancel(*timer_);
}

void Member::start() { drive(); }

void Member::ended(const std::string& duty, Token token, bool failed) {
  log_.line("duty=%s event=ended token=%llu failed=%d", duty.c_str(), static_cast<unsigned long long>(token),
            failed);
  leases_.ended(loop_.now(), duty, token, failed);
  drive();
}

void Member::leave(const std::string& successor) {
  leases_.leave(loop_.now(), successor);
  drive();
}

// Not re-entrant: work may stop at once when asked, and a reply may arrive while other requests are sent. A
// nested call makes the running one go round again.
void Member::drive() {
  drive_again_ = true;
  if (driving_) return;
  driving_ = true;
  while (std::exchange(drive_again_, false)) {
    for (Request& request : leases_.due(loop_.now())) {
      client_.ask(std::move(request.command),
                  [this, id = request.id](const std::optional<reg::Reply>& reply) {
                    if (reply) {
                      leases_.on_reply(loop_.now(), id, *reply);
                    } else {
                      leases_.on_no_reply(loop_.now(), id);
                    }
                    drive();
                  });
    }
    client_.pump();
    for (const Action& action : leases_.take_actions()) {
      const auto work = works_.find(action.duty);
      if (action.kind == Action::Kind::begin) {
        log_.line("duty=%s event=begin token=%llu", action.duty.c_str(),
                  static_cast<unsigned long long>(action.token));
        if (work != works_.end()) {
          work->second->begin(action.token);
          work->second->lease_extended(action.token, leases_.valid_until());
        } else {
          leases_.ended(loop_.now(), action.duty, action.token, true);
        }
      } else {
        log_.line("duty=%s event=end token=%llu why=\"%s\"", action.duty.c_str(),
                  static_cast<unsigned long long>(action.token), end_reason_text(action.reason));
        if (work != works_.end()) work->second->end(action.token, action.reason, leases_.valid_until());
      }
    }
    if (announced_until_ != leases_.valid_until()) {
      announced_until_ = leases_.valid_until();
      for (const auto& [name, work] : works_) {
        if (const auto token = leases_.holds(loop_.now(), name))
          work->lease_extended(*token, announced_until_);
      }
    }
  }
  driving_ = false;
  if (timer_) loop_.cancel(*timer_);
  timer_ = loop_.at(leases_.next_wakeup(loop_.now()), [this] {
    timer_.reset();
    drive();
  });
}

}  // namespace quartzarch::duty
