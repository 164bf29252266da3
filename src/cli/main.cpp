// Entry point of quartzarch_full: the call controller with the features that the platform build leaves out
// (SIP, certificates, fleet, gap control) and the operators' commands.
#include "cli/command_line.hpp"

int main(int argc, char** argv) {
  quartzarch::Logger log;
  return quartzarch::cli::run(log, argc, argv);
}
