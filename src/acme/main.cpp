// quartzarch_acme: obtains the certificate for SIP over TLS and renews it when it is due. Run it once a day.
#include <curl/curl.h>

#include <exception>

#include "acme/store.hpp"
#include "config.hpp"
#include "log.hpp"

int main(int argc, char** argv) {
  quartzarch::Logger log;
  if (argc != 2) {
    log.line("usage: quartzarch_acme FILE");
    return 2;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  int code = 0;
  try {
    const auto settings = quartzarch::acme::parse_settings(quartzarch::read_file(argv[1]));
    const bool kept = quartzarch::acme::renew(settings) == quartzarch::acme::Done::kept;
    log.line("certificate %s %s", settings.certificate.c_str(), kept ? "is good for now" : "renewed");
  } catch (const quartzarch::ConfigError& error) {
    log.line("configuration: %s: %s", argv[1], error.what());
    code = 2;
  } catch (const std::exception& error) {
    log.line("no certificate: %s", error.what());
    code = 1;
  }
  curl_global_cleanup();
  return code;
}
