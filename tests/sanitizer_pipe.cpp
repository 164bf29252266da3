// Replaces pipe(2) in sanitized builds only. When the undefined-behaviour sanitizer checks an object of a
// type that it has not seen yet, it uses a pipe to test whether the memory is readable
// (IsAccessibleMemoryRange); if it gets no pipe, it reports the object as invalid. Tests that use up all file
// descriptors therefore caused false reports. If pipe creation fails at the soft descriptor limit, this
// version raises the soft limit to the hard limit for that one call and restores it. No check of the
// sanitizer is disabled.
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>

extern "C" int pipe(int ends[2]) {
  if (::pipe2(ends, 0) == 0) return 0;
  rlimit previous{};
  if (errno != EMFILE || ::getrlimit(RLIMIT_NOFILE, &previous) != 0) return -1;
  const rlimit raised{previous.rlim_max, previous.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &raised);
  const int result = ::pipe2(ends, 0);
  ::setrlimit(RLIMIT_NOFILE, &previous);
  return result;
}
