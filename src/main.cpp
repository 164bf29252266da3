// quartzarch: one call controller. The platform starts it without arguments and it serves, linked without the
// other components; with arguments it executes the full program beside it, under the same process id.
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
