#include "acme/store.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <toml++/toml.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "config.hpp"

namespace quartzarch::acme {
namespace {

std::string failure(const std::string& path) { return path + ": " + std::strerror(errno); }

bool exists(const std::string& path) { return ::access(path.c_str(), F_OK) == 0; }

Key kept_or_new_key(const std::string& path) {
  if (exists(path)) return key_from_pem(read_file(path));
  Key key = new_key();
  replace_file(path, pem_of(key));
  return key;
}

bool good(const Settings& settings) {
  if (!exists(settings.certificate)) return false;
  try {
    const std::string pem = read_file(settings.certificate);
    const Certificate certificate = first_certificate(pem);
    return belongs_to(certificate, key_from_pem(pem)) && names_all(certificate, settings.client.names) &&
           ends_at(certificate) - std::chrono::system_clock::now() > settings.renew_before;
  } catch (const CryptoError&) {
    return false;  // what cannot be read is replaced
  }
}

}  // namespace

void replace_file(const std::string& path, const std::string& text) {
  const std::string beside = path + ".new." + std::to_string(::getpid());
  const Fd fd(::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, S_IRUSR | S_IWUSR));
  if (!fd) throw StoreError(failure(beside));
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t count = ::write(fd.get(), text.data() + done, text.size() - done);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) break;
    done += static_cast<std::size_t>(count);
  }
  const bool whole =
      done == text.size() && ::fsync(fd.get()) == 0 && ::rename(beside.c_str(), path.c_str()) == 0;
  if (whole) return;
  const std::string why = failure(path);
  ::unlink(beside.c_str());
  throw StoreError(why);
}

Settings parse_settings(std::string_view toml) {
  Settings settings;
  try {
    const toml::table table = toml::parse(toml);
    const auto need = [&](std::string_view name) {
      const auto value = table[name].value<std::string>();
      if (!value || value->empty()) throw ConfigError("\"" + std::string(name) + "\" is missing or no text");
      return *value;
    };
    settings.client.directory = need("directory");
    settings.client.contact = table["contact"].value_or(std::string());
    settings.client.ca_file = table["ca_file"].value_or(std::string());
    settings.account_key = need("account_key");
    settings.certificate = need("certificate");
    const auto listen = parse_address(need("challenges"));
    if (!listen) throw ConfigError("\"challenges\" is no address");
    settings.challenges = *listen;
    const auto* const names = table["names"].as_array();
    if (!names || names->empty()) throw ConfigError("\"names\" names nothing");
    for (const auto& name : *names) {
      // A comma or a colon would be read as another entry of the request.
      const auto value = name.value_or(std::string());
      if (value.empty() || value.find_first_of(",:/ ") != std::string::npos)
        throw ConfigError("a name is no host name");
      settings.client.names.push_back(value);
    }
    settings.renew_before = std::chrono::hours(24 * table["renew_days"].value_or(std::int64_t{30}));
  } catch (const toml::parse_error& error) {
    throw ConfigError("no TOML: " + std::string(error.description()));
  }
  return settings;
}

Done renew(const Settings& settings) {
  if (good(settings)) return Done::kept;
  const Key account = kept_or_new_key(settings.account_key);
  Responder responder(settings.challenges);
  // A fresh key each time, in one file with its chain: no reader and no crash finds one without the other.
  const Key key = new_key();
  const std::string chain = Client(settings.client, account, responder).obtain(key);
  replace_file(settings.certificate, pem_of(key) + chain);
  return Done::renewed;
}

}  // namespace quartzarch::acme
