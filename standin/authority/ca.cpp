#include "authority/ca.hpp"

#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <stdexcept>

namespace quartzarch::standin {
namespace {

using acme::Certificate;
using acme::Instant;
using acme::Key;

constexpr auto kRootLifetime = std::chrono::hours(24 * 365 * 20);

// Returns the content of a memory BIO and frees the BIO.
std::string content_of(BIO* bio) {
  char* data = nullptr;
  const long size = BIO_get_mem_data(bio, &data);
  std::string text(data, static_cast<std::size_t>(size));
  BIO_free(bio);
  return text;
}

}  // namespace

std::string pem_of(const Certificate& certificate) {
  BIO* const bio = BIO_new(BIO_s_mem());
  PEM_write_bio_X509(bio, certificate.get());
  return content_of(bio);
}

Ca::Ca(Instant now)
    : root_key_(acme::new_key()), second_root_key_(acme::new_key()), intermediate_key_(acme::new_key()) {
  const Instant begins = now - std::chrono::hours(24 * 400), ends = now + kRootLifetime;
  const auto self_signed = [&](const Key& key, const char* name) {
    return make_certificate(key.get(), name, nullptr, key, begins, ends, true, {});
  };
  root_ = self_signed(root_key_, "Stand-in Root X1");
  second_root_ = self_signed(second_root_key_, "Stand-in Root X2");
  const auto sign_intermediate = [&](const Certificate& root, const Key& key) {
    return make_certificate(intermediate_key_.get(), "Stand-in Intermediate", &root, key, begins, ends, true,
                            {});
  };
  intermediate_ = sign_intermediate(root_, root_key_);
  cross_signed_ = sign_intermediate(second_root_, second_root_key_);
  root_pem_ = pem_of(root_) + pem_of(second_root_);
}

Certificate Ca::make_certificate(EVP_PKEY* key, const std::string& subject, const Certificate* issuer,
                                 const Key& issuer_key, Instant begins, Instant ends, bool authority,
                                 const std::string& names) const {
  Certificate made(X509_new());
  X509_set_version(made.get(), X509_VERSION_3);
  ASN1_INTEGER_set_uint64(X509_get_serialNumber(made.get()), acme::random_bits() >> 1);
  ASN1_TIME_set(X509_getm_notBefore(made.get()), begins.time_since_epoch().count());
  ASN1_TIME_set(X509_getm_notAfter(made.get()), ends.time_since_epoch().count());
  X509_set_pubkey(made.get(), key);
  X509_NAME_add_entry_by_txt(X509_get_subject_name(made.get()), "CN", MBSTRING_UTF8,
                             reinterpret_cast<const unsigned char*>(subject.c_str()), -1, -1, 0);
  X509* const signer = issuer ? issuer->get() : made.get();
  X509_set_issuer_name(made.get(), X509_get_subject_name(signer));
  X509V3_CTX context;
  X509V3_set_ctx(&context, signer, made.get(), nullptr, nullptr, 0);
  const auto add = [&](int nid, const std::string& value) {
    X509_EXTENSION* const extension = X509V3_EXT_conf_nid(nullptr, &context, nid, value.c_str());
    if (!extension) throw std::runtime_error("cannot create the X.509 extension with value " + value);
    X509_add_ext(made.get(), extension, -1);
    X509_EXTENSION_free(extension);
  };
  add(NID_subject_key_identifier, "hash");
  add(NID_authority_key_identifier, "keyid");
  if (authority) add(NID_basic_constraints, "critical,CA:TRUE");
  if (authority) add(NID_key_usage, "critical,keyCertSign,cRLSign");
  if (!names.empty()) add(NID_subject_alt_name, names);
  X509_sign(made.get(), issuer_key.get(), EVP_sha256());
  return made;
}

std::string Ca::server_identity(Instant now) const {
  const Key key = acme::new_key();
  // A long validity on both sides, because the clock of a test may be far from the system's clock.
  const Certificate leaf = make_certificate(
      key.get(), "stand-in authority", &intermediate_, intermediate_key_, now - std::chrono::hours(24 * 300),
      now + std::chrono::hours(24 * 3650), false, "IP:127.0.0.1,DNS:localhost");
  return acme::pem_of(key).text() + pem_of(leaf) + pem_of(intermediate_);
}

Ca::Issued Ca::issue_leaf(EVP_PKEY* key, const std::vector<std::string>& names, const CertificateSpec& spec) {
  std::string listed;
  for (const std::string& name : names) listed += (listed.empty() ? "DNS:" : ",DNS:") + name;
  const Key other = spec.other_key ? acme::new_key() : Key();
  Issued issued;
  issued.leaf = make_certificate(other ? other.get() : key, names.front().substr(0, 60), &intermediate_,
                                 intermediate_key_, spec.begins, spec.ends, false, listed);
  for (const Certificate* const each : {&intermediate_, &cross_signed_}) {
    issued.chains.push_back(pem_of(issued.leaf) + (spec.short_chain ? "" : pem_of(*each)));
  }
  return issued;
}

Ca::Issued Ca::issue(const Key& key, const std::vector<std::string>& names, const CertificateSpec& spec) {
  return issue_leaf(key.get(), names, spec);
}

Ca::Issued Ca::issue(const std::string& der, const std::vector<std::string>& names,
                     const CertificateSpec& spec) {
  const auto* at = reinterpret_cast<const unsigned char*>(der.data());
  X509_REQ* const request = d2i_X509_REQ(nullptr, &at, static_cast<long>(der.size()));
  if (!request) return {};
  EVP_PKEY* const key = X509_REQ_get0_pubkey(request);
  std::vector<std::string> requested;
  STACK_OF(X509_EXTENSION)* const extensions = X509_REQ_get_extensions(request);
  auto* const list =
      static_cast<GENERAL_NAMES*>(X509V3_get_d2i(extensions, NID_subject_alt_name, nullptr, nullptr));
  for (int i = 0; list && i < sk_GENERAL_NAME_num(list); ++i) {
    const ASN1_STRING* const name = sk_GENERAL_NAME_value(list, i)->d.dNSName;
    requested.emplace_back(reinterpret_cast<const char*>(ASN1_STRING_get0_data(name)),
                           static_cast<std::size_t>(ASN1_STRING_length(name)));
  }
  GENERAL_NAMES_free(list);
  sk_X509_EXTENSION_pop_free(extensions, X509_EXTENSION_free);
  std::vector<std::string> expected = names;
  std::sort(requested.begin(), requested.end());
  std::sort(expected.begin(), expected.end());
  Issued issued;
  if (X509_REQ_verify(request, key) == 1 && requested == expected) issued = issue_leaf(key, names, spec);
  X509_REQ_free(request);
  return issued;
}

}  // namespace quartzarch::standin
