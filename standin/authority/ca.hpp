// The certification authority behind the simulated ACME server: two roots and an intermediate that is signed
// by both (cross-signed), which signs the leaf certificates.
#pragma once

#include <string>
#include <vector>

#include "acme/crypto.hpp"

namespace quartzarch::standin {

// The certificate in PEM.
std::string pem_of(const acme::Certificate& certificate);

class Ca {
 public:
  explicit Ca(acme::Instant now);

  const std::string& root() const { return root_pem_; }
  // A new private key and its certificate chain, in PEM, for a server on 127.0.0.1 or localhost.
  std::string server_identity(acme::Instant now) const;

  struct CertificateSpec {  // properties of the certificate to be issued
    acme::Instant begins{}, ends{};
    bool other_key = false;    // fault: certify another key than the requested one
    bool short_chain = false;  // fault: leave out the intermediate
  };
  struct Issued {
    std::vector<std::string> chains{};  // the default chain, then the alternates (RFC 8555, 7.4.2)
    acme::Certificate leaf{};
  };
  // Issues the certificate for a CSR that is signed by its own key and has exactly `names`; otherwise `leaf`
  // is null.
  Issued issue(const std::string& request_der, const std::vector<std::string>& names,
               const CertificateSpec& spec);
  // Issues a certificate for a given key, for benchmarks and tests that need certificates without an order.
  Issued issue(const acme::Key& key, const std::vector<std::string>& names, const CertificateSpec& spec);

 private:
  acme::Certificate make_certificate(EVP_PKEY* key, const std::string& subject,
                                     const acme::Certificate* issuer, const acme::Key& issuer_key,
                                     acme::Instant begins, acme::Instant ends, bool authority,
                                     const std::string& alternative_names) const;
  Issued issue_leaf(EVP_PKEY* key, const std::vector<std::string>& names, const CertificateSpec& spec);

  acme::Key root_key_, second_root_key_, intermediate_key_;
  acme::Certificate root_{}, second_root_{}, intermediate_{}, cross_signed_{};
  std::string root_pem_{};
};

}  // namespace quartzarch::standin
