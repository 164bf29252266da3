// The command line: `serve` (also meant by no sub-command) and `certs`.
#pragma once

#include "log.hpp"

namespace quartzarch::cli {

// The exit code; 2 for a command line that cannot be taken.
int run(Logger& log, int argc, char** argv);

}  // namespace quartzarch::cli
