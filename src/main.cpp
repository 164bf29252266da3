// quartzarch: one call controller, and the commands of its operators.
#include "cli/command_line.hpp"
#include "serve.hpp"

int main(int argc, char** argv) {
  quartzarch::Logger log;
  // What the platform starts has no arguments, and pays for no reading of them.
  if (argc == 1) return quartzarch::serve(log, {});
  return quartzarch::cli::run(log, argc, argv);
}
