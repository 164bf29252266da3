// A library that gives a process under test wrong clocks. Loaded by LD_PRELOAD, it replaces the C library's
// clock_gettime. QUARTZARCH_SKEW names a file of two numbers, which may change while the process runs:
//
//     int64  microseconds that the wall clock is ahead (behind, if negative)
//     double rate of the monotonic clocks, applied to the time since the process first read them
//
// Without the file, or if it is too short, the clocks are correct.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

struct Skew {
  std::atomic<std::int64_t> wall_us;
  std::atomic<double> rate;
};

// The mapped file; null if there is none.
const Skew* mapped_skew() {
  static const Skew* const mapped = []() -> const Skew* {
    const char* const path = std::getenv("QUARTZARCH_SKEW");
    const int fd = path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0) return nullptr;
    struct stat file {};
    void* at = MAP_FAILED;
    if (::fstat(fd, &file) == 0 && file.st_size >= static_cast<off_t>(sizeof(Skew)))
      at = ::mmap(nullptr, sizeof(Skew), PROT_READ, MAP_SHARED, fd, 0);
    ::close(fd);
    return at == MAP_FAILED ? nullptr : static_cast<const Skew*>(at);
  }();
  return mapped;
}

constexpr std::int64_t kSecond = 1'000'000'000;

std::int64_t nanoseconds(const timespec& at) { return at.tv_sec * kSecond + at.tv_nsec; }
timespec from_nanoseconds(std::int64_t ns) { return {ns / kSecond, ns % kSecond}; }

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* at) noexcept {
  const long failed = ::syscall(SYS_clock_gettime, clock, at);
  const Skew* const skew = failed == 0 ? mapped_skew() : nullptr;
  if (!skew) return static_cast<int>(failed);
  if (clock == CLOCK_REALTIME) {
    *at = from_nanoseconds(nanoseconds(*at) + skew->wall_us.load() * 1000);
  } else if (clock == CLOCK_MONOTONIC || clock == CLOCK_BOOTTIME) {
    static const std::int64_t start = nanoseconds(*at);
    const auto elapsed = static_cast<double>(nanoseconds(*at) - start);
    *at = from_nanoseconds(start + static_cast<std::int64_t>(elapsed * skew->rate.load()));
  }
  return 0;
}
