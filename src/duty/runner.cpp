#include "duty/runner.hpp"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstring>

namespace quartzarch::duty {
namespace {

constexpr Duration kLook = std::chrono::milliseconds(10);

// What the guardian is told: end the program (TERM, and KILL at the time), or the lease goes on until then.
struct Word {
  char what;  // 'e' or 'l'
  std::int64_t until_us;
};

// The guardian's life. Nothing of the parent's is used but the pipe: it may be stopped or gone.
[[noreturn]] void guard(int words, char* const* arguments, std::int64_t until_us, std::int64_t ending_us) {
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
      ::kill(-program, SIGKILL);  // what it left behind
      ::_exit(WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
    }
    const std::int64_t now = steady_time().count();
    if (!term_sent && now >= until_us - ending_us) {
      ::kill(-program, SIGTERM);
      term_sent = true;
    }
    if (now >= until_us - ending_us / 4) ::kill(-program, SIGKILL);
    pollfd polled{words, POLLIN, 0};
    if (::poll(&polled, 1, static_cast<int>(kLook / std::chrono::milliseconds(1))) > 0) {
      Word word{};
      const ssize_t size = ::read(words, &word, sizeof word);
      if (size == sizeof word) {
        if (!term_sent || word.what == 'e') until_us = word.until_us;
        if (word.what == 'e' && !term_sent) {
          ::kill(-program, SIGTERM);
          term_sent = true;
        }
      } else if (size == 0) {  // the parent is gone: nobody renews
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

Runner::~Runner() { to_guardian_.reset(); }

void Runner::begin(Token token) {
  token_ = token;
  told_to_end_ = false;
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) {
    log_.line("duty=%s event=error what=\"no pipe: %s\"", duty_.c_str(), std::strerror(errno));
    loop_.defer([this, token] { member_.ended(duty_, token, true); });
    return;
  }
  Fd read_end(ends[0]);
  to_guardian_ = Fd(ends[1]);
  ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
  std::vector<char*> arguments;
  for (std::string& each : command_) arguments.push_back(each.data());
  arguments.push_back(nullptr);
  const std::int64_t until = member_.valid_until().count();
  guardian_ = ::fork();
  if (guardian_ == 0) {
    ::close(ends[1]);
    // The loop's signals are blocked here; the program gets them as it should.
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    ::setenv("QUARTZARCH_DUTY", duty_.c_str(), 1);
    ::setenv("QUARTZARCH_TOKEN", std::to_string(token).c_str(), 1);
    guard(ends[0], arguments.data(), until, ending_.count());
  }
  if (guardian_ < 0) {
    log_.line("duty=%s event=error what=\"no process: %s\"", duty_.c_str(), std::strerror(errno));
    loop_.defer([this, token] { member_.ended(duty_, token, true); });
    return;
  }
  look();
}

void Runner::tell(char what, Time until) {
  const Word word{what, until.count()};
  if (to_guardian_) (void)!::write(to_guardian_.get(), &word, sizeof word);
}

void Runner::extended(Token token, Time until) {
  if (token == token_ && guardian_ > 0 && !told_to_end_) tell('l', until);
}

void Runner::end(Token token, Why, Time until) {
  if (token != token_ || guardian_ <= 0) return;
  told_to_end_ = true;
  tell('e', until);
}

void Runner::look() {
  int status = 0;
  if (guardian_ > 0 && ::waitpid(guardian_, &status, WNOHANG) == guardian_) {
    guardian_ = 0;
    to_guardian_.reset();
    const int code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    if (!told_to_end_) log_.line("duty=%s event=program-ended code=%d", duty_.c_str(), code);
    done_ = done_ || (!told_to_end_ && code == 0);
    member_.ended(duty_, token_, !told_to_end_ && code != 0);
    return;
  }
  loop_.at(loop_.now() + kLook, [this] { look(); });
}

}  // namespace quartzarch::duty
