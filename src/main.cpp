// quartzarch: one call controller. What the platform starts has no arguments and is served here, by a program
// that carries nothing else; with arguments the full program beside this one takes over, under the same
// process id.
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

#include "serve.hpp"

int main(int argc, char** argv) {
  quartzarch::Logger log;
  if (argc == 1) return quartzarch::serve(log, {});
  std::error_code error;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
  const std::string full = self.string() + "_full";
  ::execv(full.c_str(), argv);
  log.line("fatal: %s cannot be started: %s", full.c_str(), std::strerror(errno));
  return 1;
}
