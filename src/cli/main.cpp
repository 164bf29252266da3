// quartzarch_full: the call controller with all that is off on the platform, and the commands of its
// operators.
#include "cli/command_line.hpp"

int main(int argc, char** argv) {
  quartzarch::Logger log;
  return quartzarch::cli::run(log, argc, argv);
}
