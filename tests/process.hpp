// Shared fixture of the tests that run the program as a process of its own.
#pragma once

#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "acme/state.hpp"
#include "config.hpp"
#include "loopback.hpp"

namespace quartzarch::test {

class Process : public ::testing::Test {
 protected:
  Process() {
    std::string pattern = (std::filesystem::temp_directory_path() / "program-XXXXXX").string();
    directory = ::mkdtemp(pattern.data());
    address = free_address();
  }
  ~Process() override {
    if (pid > 0) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    std::filesystem::remove_all(directory);
  }
  std::string config() {
    return R"({"listen":")" + address_text(address) + R"(","coordinator":")" +
           address_text(coordinator.address()) +
           R"(","known":{"index":1,"updates":[{"index":1,"endpoints":{"whole":true,"hosts":[{"host":"a","dial":")" +
           address_text(listener.address()) +
           R"(","health":"in_service","block":0}]}}]},"settings":{"n_instances":1,)"
           R"("request_classes":[{"name":"voice","aim":1500,"deadline":9000}],)"
           R"("limits":{"attempts_cap":6,"cancelling":true},)"
           R"("contract":{"cold":0,"cold_from":1,"fall":0,"fall_multiple":1},"specifics":{"release_guard":0}}})";
  }
  void start(const std::string& text, const std::vector<std::string>& options = {}) {
    acme::replace_file(directory + "/config.json", text);
    pid = spawn(options, "log");
  }
  // Starts the program with these arguments; standard error and output go to the file `output` of the
  // directory. `configuration`: the file for NODE_CONFIG, if it is not the directory's config.json.
  pid_t spawn(const std::vector<std::string>& options, const char* output,
              const std::string& configuration = {}) {
    { std::ofstream emptied(directory + "/" + output); }
    const pid_t child = ::fork();
    if (child != 0) return child;
    std::signal(SIGXFSZ, SIG_IGN);  // a write beyond the limit fails, as on a full disk
    for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
    ::setenv("NODE_CONFIG", (configuration.empty() ? directory + "/config.json" : configuration).c_str(), 1);
    ::freopen((directory + "/" + output).c_str(), "w", stderr);
    ::dup2(2, 1);
    ::close_range(3, ~0U, 0);  // the program must not inherit the test's descriptors
    std::string program = QUARTZARCH_PROGRAM;
    std::vector<char*> arguments{program.data()};
    std::vector<std::string> kept = options;
    for (std::string& option : kept) arguments.push_back(option.data());
    arguments.push_back(nullptr);
    ::execv(program.c_str(), arguments.data());
    ::_exit(127);
  }
  int exit_code() { return exit_code_of(std::exchange(pid, 0)); }
  static int exit_code_of(pid_t child) {
    int status = 0;
    ::waitpid(child, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  std::string log() const { return read_file(directory + "/log"); }
  void wait_until(const std::function<bool()>& holds, const char* what) {
    // `holds` may itself run a command that takes long, so the total time is bounded as well.
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(40);
    for (int i = 0; i < 20000 && std::chrono::steady_clock::now() < end; ++i) {
      if (holds()) return;
      ::poll(nullptr, 0, 1);
    }
    FAIL() << "never came: " << what;
  }
  // Waits until the process listens; it connects to the setup servers before that.
  void wait_until_serving() {
    wait_until([&] { return log().find("serving at") != std::string::npos; }, "the start");
  }
  // Starts the process and waits until the set-up 0xaa of `gateway` has reached `server`.
  void start_with_a_call(Peer& server, Peer& gateway) {
    start(config());
    wait_until([&] { return static_cast<bool>(server = listener.accept()); }, "its connection");
    wait_until_serving();
    gateway = Peer::connect(address);
    gateway.send(setup(0xaa, "d"));
    wait_to_receive(server, "00000000000000aa");
  }
  void wait_to_receive(Peer& peer, const std::string& text) {
    wait_until([&] { return peer.received().find(text) != std::string::npos; }, text.c_str());
  }

  std::string directory;
  std::vector<std::pair<std::string, std::string>> environment{};  // of processes spawned from now on
  sockaddr_in address{};
  Listener listener, coordinator;
  pid_t pid = 0;
};

}  // namespace quartzarch::test
