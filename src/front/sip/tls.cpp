#include "front/sip/tls.hpp"

#include <openssl/err.h>
#include <sys/stat.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace quartzarch::sip {
namespace {

// Limit of the plaintext that is buffered until the handshake is complete.
constexpr std::size_t kMaxPendingPlain = 256 * 1024;

std::string last_error() {
  char reason[256] = "";
  ERR_error_string_n(ERR_get_error(), reason, sizeof reason);
  ERR_clear_error();
  return reason;
}

}  // namespace

TlsContext::TlsContext(Logger& log, std::shared_ptr<tls::Registry> registry, std::string certificate,
                       std::string ca_file)
    : log_(log),
      registry_(registry ? std::move(registry) : std::make_shared<tls::Registry>()),
      certificate_file_(std::move(certificate)),
      client_(SSL_CTX_new(TLS_client_method())) {
  if (!certificate_file_.empty()) {
    file_version_ = file_version();
    load();
  }
  SSL_CTX_set_min_proto_version(client_.get(), TLS1_2_VERSION);
  SSL_CTX_set_verify(client_.get(), SSL_VERIFY_PEER, nullptr);
  const bool trusted = ca_file.empty()
                           ? SSL_CTX_set_default_verify_paths(client_.get()) == 1
                           : SSL_CTX_load_verify_locations(client_.get(), ca_file.c_str(), nullptr) == 1;
  if (!trusted) throw std::runtime_error("trusted CA certificates cannot be read: " + last_error());
}

void TlsContext::load() {
  std::ifstream file(certificate_file_);
  std::ostringstream text;
  text << file.rdbuf();
  try {
    if (!file) throw tls::TlsError("cannot be read");
    registry_->put("file " + certificate_file_, text.str());
  } catch (const tls::TlsError& error) {
    throw std::runtime_error(certificate_file_ + " cannot be used: " + error.what());
  }
}

std::string TlsContext::file_version() const {
  struct stat info {};
  if (::stat(certificate_file_.c_str(), &info) != 0) return {};
  return std::to_string(info.st_ino) + "." + std::to_string(info.st_mtim.tv_sec) + "." +
         std::to_string(info.st_mtim.tv_nsec) + "." + std::to_string(info.st_size);
}

void TlsContext::reload_if_changed() {
  const std::string current = file_version();
  if (current.empty() || std::exchange(file_version_, current) == current) return;
  try {
    load();
    log_.line("tls: certificate %s read again", certificate_file_.c_str());
  } catch (const std::runtime_error& error) {
    log_.line("tls: %s; the old one goes on", error.what());
  }
}

TlsSession::TlsSession(SSL_CTX* context) : ssl_(SSL_new(context)) {
  SSL_set_bio(ssl_.get(), BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
}

std::unique_ptr<TlsSession> TlsSession::accepting(SSL_CTX* context) {
  std::unique_ptr<TlsSession> session(new TlsSession(context));
  SSL_set_accept_state(session->ssl_.get());
  return session;
}

std::unique_ptr<TlsSession> TlsSession::connecting(SSL_CTX* context, const std::string& peer) {
  std::unique_ptr<TlsSession> session(new TlsSession(context));
  SSL_set_connect_state(session->ssl_.get());
  X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(session->ssl_.get()), peer.c_str());
  session->advance();
  return session;
}

bool TlsSession::feed(std::string_view ciphertext) {
  BIO_write(SSL_get_rbio(ssl_.get()), ciphertext.data(), static_cast<int>(ciphertext.size()));
  return advance();
}

bool TlsSession::write(std::string_view plain) {
  if (pending_plain_.size() + plain.size() > kMaxPendingPlain) return false;
  pending_plain_ += plain;
  return advance();
}

// Proceeds as far as the received ciphertext allows: handshake, sending of buffered plaintext, decryption.
// False if the session has failed or ended.
bool TlsSession::advance() {
  ERR_clear_error();
  SSL* const ssl = ssl_.get();
  const auto wants_input = [ssl](int result) { return SSL_get_error(ssl, result) == SSL_ERROR_WANT_READ; };
  if (!SSL_is_init_finished(ssl)) {
    const int result = SSL_do_handshake(ssl);
    if (result != 1) return wants_input(result);
    if (was_challenge()) return false;  // a challenge connection carries no data (RFC 8737, section 3)
  }
  if (!pending_plain_.empty()) {
    const int result = SSL_write(ssl, pending_plain_.data(), static_cast<int>(pending_plain_.size()));
    if (result <= 0) return wants_input(result);
    pending_plain_.clear();
  }
  for (;;) {
    char bytes[16 * 1024];
    const int result = SSL_read(ssl, bytes, sizeof bytes);
    if (result <= 0) return wants_input(result);
    received_plain_.append(bytes, static_cast<std::size_t>(result));
  }
}

std::string TlsSession::take_ciphertext() {
  BIO* const out = SSL_get_wbio(ssl_.get());
  std::string bytes(BIO_ctrl_pending(out), '\0');
  if (!bytes.empty()) BIO_read(out, bytes.data(), static_cast<int>(bytes.size()));
  return bytes;
}

}  // namespace quartzarch::sip
