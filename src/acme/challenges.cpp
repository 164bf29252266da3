#include "acme/challenges.hpp"

#include <algorithm>
#include <system_error>
#include <utility>

#include "acme/records.hpp"

namespace quartzarch::acme {
namespace {

std::string record_of(const std::string& name) {
  return "challenge-" + hex(sha256(name)).substr(0, 16) + ".json";
}

}  // namespace

Challenges::~Challenges() {
  for (const auto& [record, published] : published_) {
    if (registry_ && published.type == "tls-alpn-01") registry_->remove_challenge(published.name);
  }
}

void Challenges::publish(Instant now, const std::string& name, const std::string& type,
                         const std::string& token, const std::string& authorization) {
  const Instant until =
      now + settings_.step_timeout * 2 + std::chrono::ceil<Seconds>(settings_.publish_delay);
  store_.write(record_of(name), to_text(ChallengeRecord{name, type, token, authorization, until}));
  sync(now);
}

void Challenges::withdraw(Instant now, const std::string& name) {
  store_.remove(record_of(name));
  sync(now);
}

void Challenges::sync(Instant now) {
  const std::vector<std::string> files = store_.list("challenge-", ".json");
  for (auto at = published_.begin(); at != published_.end();) {
    if (std::find(files.begin(), files.end(), at->first) != files.end()) {
      ++at;
      continue;
    }
    if (registry_ && at->second.type == "tls-alpn-01") registry_->remove_challenge(at->second.name);
    at = published_.erase(at);
  }
  if (published_.empty()) responder_.reset();
  for (const std::string& each : files) {
    const std::string stamp = store_.stamp(each);
    if (const auto known = published_.find(each); known != published_.end() && known->second.stamp == stamp)
      continue;
    const auto text = store_.read(each);
    const auto challenge = text ? parse_challenge(*text) : std::nullopt;
    if (!challenge) continue;
    published_[each] = {stamp, challenge->name, challenge->type};
    if (challenge->until < now) {
      // Left behind by an instance that crashed. Without the lease it cannot be removed here.
      try {
        store_.remove(each);
      } catch (const LeaseLost&) {
      }
      continue;
    }
    if (challenge->type == "tls-alpn-01") {
      if (registry_) {
        registry_->add_challenge(
            challenge->name, create_challenge_certificate(challenge->name, challenge->authorization).view());
      }
    } else if (settings_.http01) {
      try {
        if (!responder_) responder_ = std::make_unique<Responder>(*settings_.http01);
        responder_->serve(challenge->token, challenge->authorization);
      } catch (const std::system_error& error) {
        // Another instance on this machine may hold the port; it answers all published challenges as well.
        if (!std::exchange(responder_error_logged_, true))
          log_.line("certificates: http-01: %s", error.what());
      }
    }
  }
}

}  // namespace quartzarch::acme
