// The signing side of the stand-in authority: two roots, an intermediate that both have signed, leaves.
#pragma once

#include <string>
#include <vector>

#include "acme/crypto.hpp"

namespace quartzarch::standin {

std::string pem_of(const acme::Certificate& certificate);

class Ca {
 public:
  explicit Ca(acme::Instant now);

  const std::string& root() const { return root_pem_; }
  // A server's own identity (key and chain in PEM) for loopback.
  std::string server_identity(acme::Instant now) const;

  struct Wish {
    acme::Instant begins{}, ends{};
    bool other_key = false;
    bool short_chain = false;
  };
  struct Issued {
    std::vector<std::string> chains{};  // the first, then the alternates
    acme::Certificate leaf{};
  };
  // What a request asks for, if it is signed by its own key and names just `names`; `leaf` is null if not.
  Issued issue(const std::string& request_der, const std::vector<std::string>& names, const Wish& wish);
  // A leaf for a key that is at hand: for benches and tests that need certificates without an order.
  Issued issue(const acme::Key& key, const std::vector<std::string>& names, const Wish& wish);

 private:
  acme::Certificate make(EVP_PKEY* key, const std::string& subject, const acme::Certificate* issuer,
                         const acme::Key& issuer_key, acme::Instant begins, acme::Instant ends,
                         bool authority, const std::string& alternative_names) const;
  Issued finish(EVP_PKEY* key, const std::vector<std::string>& names, const Wish& wish);

  acme::Key root_key_, second_root_key_, intermediate_key_;
  acme::Certificate root_{}, second_root_{}, intermediate_{}, cross_signed_{};
  std::string root_pem_{};
};

}  // namespace quartzarch::standin
