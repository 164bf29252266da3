// The command line of quartzarch_full: `serve`, which is also the default without a sub-command, and the
// operators' commands `certs`, `gap`, `fleet` and `duty`.
#pragma once

#include "log.hpp"

namespace quartzarch::cli {

// Parses the command line and runs the selected command. Returns the process's exit code; 2 for an invalid
// command line or an unusable file.
int run(Logger& log, int argc, char** argv);

}  // namespace quartzarch::cli
