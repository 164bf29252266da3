#include "duty/runner.hpp"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstring>

namespace quartzarch::duty {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(10);

// A message to the supervisor: stop the program (SIGTERM now, SIGKILL shortly before `until_us`), or the
// lease has been extended to `until_us`.
struct SupervisorCommand {
  char type;  // 'e': end, 'l': lease extended
  std::int64_t until_us;
};

// The supervisor process. It uses nothing of the parent but the pipe, since the parent may be stopped or
// dead.
[[noreturn]] void supervise(int commands_fd, char* const* arguments, std::int64_t until_us,
                            std::int64_t ending_us) {
  ::setpgid(0, 0);
  const pid_t program = ::fork();
  if (program == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setpgid(0, 0);
    ::execvp(arguments[0], arguments);
    ::_exit(127);
  }
  if (program < 0) ::_exit(126);
  ::setpgid(program, program);
  bool term_sent = false;
  for (;;) {
    int status = 0;
    if (::waitpid(program, &status, WNOHANG) == program) {
      ::kill(-program, SIGKILL);  // also processes that the program left running
      ::_exit(WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
    }
    const std::int64_t now = steady_time().count();
    if (!term_sent && now >= until_us - ending_us) {
      ::kill(-program, SIGTERM);
      term_sent = true;
    }
    if (now >= until_us - ending_us / 4) ::kill(-program, SIGKILL);
    pollfd polled{commands_fd, POLLIN, 0};
    if (::poll(&polled, 1, static_cast<int>(kPollInterval / std::chrono::milliseconds(1))) > 0) {
      SupervisorCommand message{};
      const ssize_t size = ::read(commands_fd, &message, sizeof message);
      if (size == sizeof message) {
        if (!term_sent || message.type == 'e') until_us = message.until_us;
        if (message.type == 'e' && !term_sent) {
          ::kill(-program, SIGTERM);
          term_sent = true;
        }
      } else if (size == 0) {  // the parent has exited: nobody extends the lease any more
        ::kill(-program, term_sent ? SIGKILL : SIGTERM);
        term_sent = true;
        ::poll(nullptr, 0, 10);
        until_us = std::min(until_us, steady_time().count() + ending_us);
      }
    }
  }
}

}  // namespace

Runner::Runner(Loop& loop, Logger& log, Member& member, std::string duty, std::vector<std::string> command,
               Duration ending)
    : loop_(loop),
      log_(log),
      member_(member),
      duty_(std::move(duty)),
      command_(std::move(command)),
      ending_(ending) {}

Runner::~Runner() { to_supervisor_.reset(); }

void Runner::begin(Token token) {
  token_ = token;
  end_requested_ = false;
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) {
    log_.line("duty=%s event=error what=\"cannot create a pipe: %s\"", duty_.c_str(), std::strerror(errno));
    loop_.defer([this, token] { member_.ended(duty_, token, true); });
    return;
  }
  Fd read_end(ends[0]);
  to_supervisor_ = Fd(ends[1]);
  ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
  std::vector<char*> arguments;
  for (std::string& each : command_) arguments.push_back(each.data());
  arguments.push_back(nullptr);
  const std::int64_t until = member_.valid_until().count();
  supervisor_ = ::fork();
  if (supervisor_ == 0) {
    ::close(ends[1]);
    // The event loop's signals are blocked in this process; the program starts with the default mask.
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    ::setenv("QUARTZARCH_DUTY", duty_.c_str(), 1);
    ::setenv("QUARTZARCH_TOKEN", std::to_string(token).c_str(), 1);
    supervise(ends[0], arguments.data(), until, ending_.count());
  }
  if (supervisor_ < 0) {
    log_.line("duty=%s event=error what=\"cannot start a process: %s\"", duty_.c_str(), std::strerror(errno));
    loop_.defer([this, token] { member_.ended(duty_, token, true); });
    return;
  }
  poll_exit();
}

void Runner::send_command(char type, Time until) {
  const SupervisorCommand message{type, until.count()};
  if (to_supervisor_) (void)!::write(to_supervisor_.get(), &message, sizeof message);
}

void Runner::lease_extended(Token token, Time until) {
  if (token == token_ && supervisor_ > 0 && !end_requested_) send_command('l', until);
}

void Runner::end(Token token, EndReason, Time until) {
  if (token != token_ || supervisor_ <= 0) return;
  end_requested_ = true;
  send_command('e', until);
}

void Runner::poll_exit() {
  int status = 0;
  if (supervisor_ > 0 && ::waitpid(supervisor_, &status, WNOHANG) == supervisor_) {
    supervisor_ = 0;
    to_supervisor_.reset();
    const int code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    if (!end_requested_) log_.line("duty=%s event=program-ended code=%d", duty_.c_str(), code);
    done_ = done_ || (!end_requested_ && code == 0);
    member_.ended(duty_, token_, !end_requested_ && code != 0);
    return;
  }
  loop_.at(loop_.now() + kPollInterval, [this] { poll_exit(); });
}

}  // namespace quartzarch::duty
