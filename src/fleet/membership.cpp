#include "fleet/membership.hpp"

#include <signal.h>

#include <algorithm>
#include <condition_variable>
#include <system_error>

#include "config.hpp"
#include "register/voter_server.hpp"

namespace quartzarch::fleet {
namespace {

// How long the end of the process waits for its duties to be handed over.
constexpr Duration kLeaveTimeout = std::chrono::milliseconds(1000);
constexpr Duration kMaxPoll = std::chrono::milliseconds(500);
// How long it waits for another voter to lead, and how often it requests the transfer meanwhile.
constexpr Duration kResignTimeout = std::chrono::milliseconds(1000);
constexpr Duration kResignInterval = std::chrono::milliseconds(50);
// Progress time of the program's own duties, unless the settings file names another.
constexpr Duration kDefaultProgress = std::chrono::seconds(120);
// Between two attempts of the same command.
constexpr std::chrono::milliseconds kRetryInterval{50};

}  // namespace

std::map<std::string, sockaddr_in> addresses(const FleetSettings& settings) {
  std::map<std::string, sockaddr_in> by_name;
  for (const VoterAddress& voter : settings.voters) by_name[voter.name] = voter.address;
  return by_name;
}

duty::Settings lease_settings(const FleetSettings& settings, const std::string& name) {
  duty::Settings leases;
  leases.name = name;
  // Later starts get a higher one; two processes started within the same microsecond would count as one.
  leases.incarnation = static_cast<std::uint64_t>(unix_time().count());
  leases.ttl = settings.ttl;
  leases.drift = settings.drift;
  leases.ending = settings.ending;
  return leases;
}

duty::DutySettings duty_settings(const FleetSettings& settings, const std::string& name,
                                 const std::string& controller) {
  duty::DutySettings duty;
  duty.name = name;
  for (const Duty& each : settings.duties) {
    if (each.name != name) continue;
    duty.progress = each.progress;
    duty.preferred = each.preferred.empty() || std::find(each.preferred.begin(), each.preferred.end(),
                                                         controller) != each.preferred.end();
  }
  return duty;
}

// What lives on the thread's loop; created before the thread starts, so that a bad disk is reported at the
// start.
class Membership::LoopState {
 public:
  LoopState(Logger& log, const FleetSettings& settings, const std::string& name, std::uint64_t seed,
            const std::vector<std::string>& duties)
      : loop(steady_time), mailbox(loop) {
    if (const VoterAddress* const own = settings.voter(name)) {
      reg::VoterServer::Settings voter_settings;
      voter_settings.name = name;
      voter_settings.addresses = addresses(settings);
      voter_settings.listen = settings.listen.value_or(own->address);
      voter_settings.directory = settings.directory;
      voter_settings.election = settings.election;
      voter_settings.heartbeat = settings.heartbeat;
      voter = std::make_unique<reg::VoterServer>(loop, log, voter_settings, seed);
      log.line("fleet: voter %s at %s", name.c_str(), address_text(voter->address()).c_str());
    }
    std::vector<duty::DutySettings> duty_list;
    for (const std::string& duty : duties) {
      duty_list.push_back(duty_settings(settings, duty, name));
      if (duty_list.back().progress == Duration{0}) duty_list.back().progress = kDefaultProgress;
    }
    member = std::make_unique<duty::Member>(loop, log, addresses(settings), lease_settings(settings, name),
                                            std::move(duty_list), seed);
  }
  Loop loop;
  Mailbox mailbox;
  std::unique_ptr<reg::VoterServer> voter;
  std::unique_ptr<duty::Member> member;
};

Membership::Membership(Logger& log, const FleetSettings& settings, const std::string& name,
                       std::uint64_t seed, const std::vector<std::string>& duties) {
  try {
    state_ = std::make_unique<LoopState>(log, settings, name, seed, duties);
  } catch (const reg::StorageError& error) {
    throw ConfigError(std::string("\"directory\": ") + error.what());
  } catch (const std::system_error& error) {
    throw ConfigError(std::string("\"voter\": cannot listen: ") + error.what());
  } catch (const std::runtime_error& error) {
    throw ConfigError(error.what());
  }
  for (const std::string& duty : duties) {
    auto& duty_handle = handles_[duty] = std::make_unique<DutyHandle>(duty, settings.ending);
    duty_handle->attach(state_->loop, state_->mailbox, *state_->member);
  }
  // Signals are handled by the main loop only.
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  thread_ = std::thread([this] { run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

Membership::~Membership() {
  stop();
  if (thread_.joinable()) thread_.join();
}

void Membership::stop() {
  stopping_ = true;
  state_->mailbox.post([] {});  // wakes the waiting pass of the loop
}

void Membership::ask(reg::Command command, reg::ClientProtocol::Done done) {
  state_->mailbox.post([this, command = std::move(command), done = std::move(done)]() mutable {
    if (!state_->member) return;
    state_->member->client().ask(std::move(command), std::move(done));
    state_->member->client().pump();
  });
}

void Membership::watch(const std::string& prefix, reg::ClientProtocol::OnChanges on_changes) {
  state_->mailbox.post([this, prefix, on_changes = std::move(on_changes)]() mutable {
    if (!state_->member) return;
    state_->member->client().watch(prefix, std::move(on_changes));
    state_->member->client().pump();
  });
}

std::optional<reg::Reply> Membership::ask_and_wait(const reg::Command& command, Duration timeout,
                                                   const std::function<bool()>& cancelled) {
  struct Answer {
    std::mutex mutex;
    std::condition_variable arrived;
    bool over = false;
    std::optional<reg::Reply> reply;
  };
  const Time until = steady_time() + timeout;
  while (steady_time() < until && !(cancelled && cancelled())) {
    const auto answer = std::make_shared<Answer>();
    ask(command, [answer](const std::optional<reg::Reply>& reply) {
      const std::lock_guard lock(answer->mutex);
      answer->reply = reply;
      answer->over = true;
      answer->arrived.notify_one();
    });
    std::unique_lock lock(answer->mutex);
    while (!answer->over && steady_time() < until && !(cancelled && cancelled())) {
      answer->arrived.wait_for(lock, kRetryInterval);
    }
    if (answer->reply) return answer->reply;
    // No voter was reached, or the reply was lost.
    if (answer->over) answer->arrived.wait_for(lock, kRetryInterval, [] { return false; });
  }
  return std::nullopt;
}

void Membership::run() {
  Loop& loop = state_->loop;
  state_->member->start();
  while (!stopping_) loop.pass(kMaxPoll);
  state_->member->leave();
  for (const Time until = loop.now() + kLeaveTimeout; !state_->member->left() && loop.now() < until;) {
    loop.pass(std::chrono::milliseconds(10));
  }
  state_->member.reset();
  // If the transfer fails, the other voters elect a leader by themselves.
  for (const Time until = loop.now() + kResignTimeout;
       state_->voter && state_->voter->resign() && loop.now() < until;) {
    for (const Time again = loop.now() + kResignInterval; loop.now() < again;) {
      loop.pass(std::chrono::milliseconds(10));
    }
  }
  state_->voter.reset();
}

}  // namespace quartzarch::fleet
