#include "acme/state.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <memory>

#include "acme/json.hpp"

namespace quartzarch::acme {
namespace {

constexpr std::string_view kRecordPrefix = "quartzarch-state 1 ";
constexpr std::size_t kMaxFileBytes = 1024 * 1024;
constexpr const char* kLeaseFile = "lease";
constexpr const char* kLeaseLockFile = "lease.lock";

std::string errno_text(const std::string& path) { return path + ": " + std::strerror(errno); }

void sync_directory_of(const std::string& path) {
  const auto slash = path.rfind('/');
  const std::string directory =
      slash == std::string::npos ? "." : path.substr(0, std::max<std::size_t>(slash, 1));
  const Fd fd(::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!fd || ::fsync(fd.get()) != 0) throw StateError(errno_text(directory));
}

std::string mode_text(mode_t mode) {
  char text[8];
  std::snprintf(text, sizeof text, "%04o", static_cast<unsigned>(mode & 07777));
  return text;
}

// Requires that only this user has access: a key that others can read is compromised, and a file that others
// can write may not be what this program wrote.
void check_private(const struct stat& info, const std::string& path) {
  if (info.st_uid != ::geteuid()) {
    throw StateError(path + ": belongs to user " + std::to_string(info.st_uid) + ", not to " +
                     std::to_string(::geteuid()));
  }
  if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    throw StateError(path + ": mode " + mode_text(info.st_mode) + " gives access to group or others");
  }
}

}  // namespace

std::optional<std::string> read_secret(const std::string& path) {
  const auto slash = path.rfind('/');
  const bool in_working_directory = slash == std::string::npos;
  const StateDirectory directory(in_working_directory ? "." : path.substr(0, slash), {});
  const auto read = directory.read_pem(in_working_directory ? path : path.substr(slash + 1));
  if (!read) return std::nullopt;
  std::string text = read->text();
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back()))) text.pop_back();
  return text;
}

void replace_file(const std::string& path, std::string_view text) {
  const std::string temporary = path + ".new." + std::to_string(::getpid());
  {
    const Fd fd(
        ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, S_IRUSR | S_IWUSR));
    if (!fd) throw StateError(errno_text(temporary));
    std::size_t done = 0;
    while (done < text.size()) {
      const ssize_t count = ::write(fd.get(), text.data() + done, text.size() - done);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) break;
      done += static_cast<std::size_t>(count);
    }
    if (done != text.size() || ::fsync(fd.get()) != 0 || ::rename(temporary.c_str(), path.c_str()) != 0) {
      const std::string why = errno_text(path);
      ::unlink(temporary.c_str());
      throw StateError(why);
    }
  }
  sync_directory_of(path);
}

StateDirectory::StateDirectory(std::string path, std::function<void(const std::string&)> on_quarantine)
    : path_(std::move(path)), on_quarantine_(std::move(on_quarantine)) {
  if (::mkdir(path_.c_str(), S_IRWXU) == 0) {
    sync_directory_of(path_);
  } else if (errno != EEXIST) {
    throw StateError(errno_text(path_));
  }
  struct stat info {};
  if (::stat(path_.c_str(), &info) != 0) throw StateError(errno_text(path_));
  if (!S_ISDIR(info.st_mode)) throw StateError(path_ + ": is not a directory");
  check_private(info, path_);
}

std::optional<std::string> StateDirectory::load(const std::string& name) const {
  const std::string path = path_of(name);
  const Fd fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK));
  if (!fd) {
    if (errno == ENOENT) return std::nullopt;
    throw StateError(errno_text(path));
  }
  struct stat info {};
  if (::fstat(fd.get(), &info) != 0) throw StateError(errno_text(path));
  if (!S_ISREG(info.st_mode)) throw StateError(path + ": is not a regular file");
  check_private(info, path);
  std::string text(std::min(static_cast<std::size_t>(info.st_size), kMaxFileBytes), '\0');
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t count = ::read(fd.get(), text.data() + done, text.size() - done);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw StateError(errno_text(path));
    if (count == 0) break;
    done += static_cast<std::size_t>(count);
  }
  text.resize(done);
  return text;
}

std::optional<std::string> StateDirectory::read(const std::string& name) const {
  const auto text = load(name);
  if (!text) return std::nullopt;
  const std::size_t header_size = kRecordPrefix.size() + 64 + 1;
  const bool intact =
      text->starts_with(kRecordPrefix) && text->size() >= header_size && (*text)[header_size - 1] == '\n' &&
      text->compare(kRecordPrefix.size(), 64, hex(sha256(std::string_view(*text).substr(header_size)))) == 0;
  if (intact) return text->substr(header_size);
  quarantine_file(
      name, text->starts_with(kRecordPrefix) ? "torn or changed by hand" : "not a record of this program");
  return std::nullopt;
}

void StateDirectory::write(const std::string& name, std::string_view text) {
  replace_file(path_of(name), std::string(kRecordPrefix) + hex(sha256(text)) + "\n" + std::string(text));
}

std::optional<Secret> StateDirectory::read_pem(const std::string& name) const {
  auto text = load(name);
  if (!text) return std::nullopt;
  return Secret(std::move(*text));
}

void StateDirectory::write_pem(const std::string& name, const Secret& pem) {
  replace_file(path_of(name), pem.view());
}

void StateDirectory::remove(const std::string& name) {
  const std::string path = path_of(name);
  if (::unlink(path.c_str()) != 0 && errno != ENOENT) throw StateError(errno_text(path));
  sync_directory_of(path);
}

void StateDirectory::quarantine_file(const std::string& name, const std::string& why) const {
  const std::string path = path_of(name);
  for (int i = 1; i < 1000; ++i) {
    const std::string quarantined = path + ".aside-" + std::to_string(i);
    // link() fails if the name exists, so files quarantined before are not overwritten.
    if (::link(path.c_str(), quarantined.c_str()) != 0) {
      if (errno == EEXIST) continue;
      throw StateError(errno_text(path));
    }
    ::unlink(path.c_str());
    sync_directory_of(path);
    if (on_quarantine_) on_quarantine_(path + ": " + why + ", put aside as " + quarantined);
    return;
  }
  throw StateError(path + ": " + why + ", and too many such files were put aside already");
}

std::vector<std::string> StateDirectory::list(const std::string& prefix, const std::string& suffix) const {
  std::vector<std::string> names;
  const std::unique_ptr<DIR, int (*)(DIR*)> directory(::opendir(path_.c_str()), ::closedir);
  if (!directory) throw StateError(errno_text(path_));
  while (const dirent* const each = ::readdir(directory.get())) {
    const std::string name = each->d_name;
    if (name.size() >= prefix.size() + suffix.size() && name.starts_with(prefix) && name.ends_with(suffix)) {
      names.push_back(name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::string StateDirectory::stamp(const std::string& name) const {
  struct stat info {};
  if (::stat((name.empty() ? path_ : path_of(name)).c_str(), &info) != 0) return {};
  return std::to_string(info.st_ino) + "." + std::to_string(info.st_mtim.tv_sec) + "." +
         std::to_string(info.st_mtim.tv_nsec) + "." + std::to_string(info.st_size);
}

// ---- FileLease

Fd FileLease::lock_file() const {
  const std::string path = directory_.path_of(kLeaseLockFile);
  Fd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, S_IRUSR | S_IWUSR));
  if (!fd) throw StateError(errno_text(path));
  while (::flock(fd.get(), LOCK_EX) != 0) {
    if (errno != EINTR) throw StateError(errno_text(path));
  }
  return fd;
}

std::optional<FileLease::Holder> FileLease::read() const {
  const auto text = directory_.read(kLeaseFile);
  if (!text) return std::nullopt;
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  if (parser.parse(*text).get(root) != simdjson::SUCCESS || !root.is_object()) return std::nullopt;
  return Holder{text_in(root, "holder"), Instant(Seconds(number_in(root, "until", 0)))};
}

// A lease that ends later than any current lease can was written under another clock, so it does not count.
bool FileLease::in_force(const Holder& held, Instant now) const {
  return held.until > now && held.until - now <= 2 * duration_;
}

void FileLease::write(Instant until) const {
  directory_.write(kLeaseFile, "{\"holder\":" + json_quoted(holder_) +
                                   ",\"until\":" + std::to_string(until.time_since_epoch().count()) + "}");
}

bool FileLease::acquire(Instant now) {
  const Fd lock = lock_file();
  const auto held = read();
  if (held && held->name != holder_ && in_force(*held, now)) return false;
  write(now + duration_);
  return true;
}

bool FileLease::renew(Instant now) {
  const Fd lock = lock_file();
  const auto held = read();
  if (!held || held->name != holder_ || !in_force(*held, now)) return false;
  // renew() is called at every step of an order, so the file is rewritten only after a quarter of the
  // duration.
  if (held->until - now < duration_ * 3 / 4) write(now + duration_);
  return true;
}

void FileLease::release() {
  const Fd lock = lock_file();
  const auto held = read();
  if (held && held->name == holder_) directory_.remove(kLeaseFile);
}

std::optional<FileLease::Holder> FileLease::holder(Instant now) const {
  const auto held = read();
  if (!held || !in_force(*held, now)) return std::nullopt;
  return held;
}

}  // namespace quartzarch::acme
