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
  for (const auto& [record, answered] : answered_) {
    if (registry_ && answered.type == "tls-alpn-01") registry_->remove_challenge(answered.name);
  }
}

void Challenges::put_up(Instant now, const std::string& name, const std::string& type,
                        const std::string& token, const std::string& authorization) {
  const Instant until = now + settings_.patience * 2 + std::chrono::ceil<Seconds>(settings_.settle);
  store_.write(record_of(name), to_text(ChallengeRecord{name, type, token, authorization, until}));
  answer(now);
}

void Challenges::take_down(Instant now, const std::string& name) {
  store_.remove(record_of(name));
  answer(now);
}

void Challenges::answer(Instant now) {
  const std::vector<std::string> files = store_.list("challenge-", ".json");
  for (auto at = answered_.begin(); at != answered_.end();) {
    if (std::find(files.begin(), files.end(), at->first) != files.end()) {
      ++at;
      continue;
    }
    if (registry_ && at->second.type == "tls-alpn-01") registry_->remove_challenge(at->second.name);
    at = answered_.erase(at);
  }
  if (answered_.empty()) responder_.reset();
  for (const std::string& each : files) {
    const std::string stamp = store_.stamp(each);
    if (const auto known = answered_.find(each); known != answered_.end() && known->second.stamp == stamp)
      continue;
    const auto text = store_.read(each);
    const auto put_up = text ? parse_challenge(*text) : std::nullopt;
    if (!put_up) continue;
    answered_[each] = {stamp, put_up->name, put_up->type};
    if (put_up->until < now) {
      // Left by one that died; not ours to remove, it may be.
      try {
        store_.remove(each);
      } catch (const TurnLost&) {
      }
      continue;
    }
    if (put_up->type == "tls-alpn-01") {
      if (registry_) {
        registry_->add_challenge(put_up->name,
                                 challenge_identity(put_up->name, put_up->authorization).view());
      }
    } else if (settings_.http01) {
      try {
        if (!responder_) responder_ = std::make_unique<Responder>(*settings_.http01);
        responder_->serve(put_up->token, put_up->authorization);
      } catch (const std::system_error& error) {
        // Another instance on this machine may have the port, and answers too.
        if (!std::exchange(told_of_responder_, true)) log_.line("certificates: http-01: %s", error.what());
      }
    }
  }
}

}  // namespace quartzarch::acme
