// Obtains one certificate from one authority: order, challenges, finalization, chain. The progress is stored
// at every step, so that the order is resumed after a crash or by another instance.
#pragma once

#include <optional>
#include <string>

#include "acme/accounts.hpp"
#include "acme/challenges.hpp"
#include "acme/flow.hpp"

namespace quartzarch::acme {

// The certificate to obtain and the one that it replaces.
struct IssueRequest {
  const CertificateSettings& certificate;
  const Certificate& leaf;         // the certificate in use; null: none
  std::optional<Validity> held{};  // its validity, if it covers the same names
  unsigned failures = 0;           // consecutive; each failure moves on to the next challenge type
};

// The outcome of an order.
struct Issued {
  OrderRecord record{};  // to be removed with drop() once the certificate is in use
  Key key{};
  std::string chain{};  // empty: the certificate in use already is the one of this order
};

class Issuing {
 public:
  Issuing(Store& store, const Settings& settings, Logger& log, Steps& steps, Accounts& accounts,
          Challenges& challenges)
      : store_(store),
        settings_(settings),
        log_(log),
        steps_(steps),
        accounts_(accounts),
        challenges_(challenges) {}

  // Starts or resumes the order of a certificate and carries it through. Throws AcmeError, HttpError,
  // CryptoError, StateError, Stopped and LeaseLost.
  Issued issue(const IssueRequest& request, std::size_t authority);
  // The stored open order of a certificate, if there is one.
  std::optional<OrderRecord> load(const std::string& id);
  // Removes the stored order and its key.
  void drop(const std::string& id, const OrderRecord& record);

 private:
  void save(const std::string& id, const OrderRecord& record);
  // Removes keys that a crash left behind after their order was removed.
  void remove_orphaned_keys(const std::string& id, const std::optional<OrderRecord>& record);
  // Each order has a new key. The record that names the key file is stored before the key.
  Key load_or_create_key(const IssueRequest& request, OrderRecord& record);
  // The authority's view of the order: the recorded one, one whose newOrder response was lost, or a new one.
  OrderReply find_or_create_order(const IssueRequest& request, OrderRecord& record, Session& session,
                                  bool resumed);
  // Answers a challenge of the authorization and waits until it is valid.
  void complete_authorization(const IssueRequest& request, Session& session,
                              const std::string& authorization_url);
  // Downloads the chain and checks it.
  Issued fetch(const IssueRequest& request, OrderRecord& record, Session& session, Key key,
               const OrderView& view);

  Store& store_;
  const Settings& settings_;
  Logger& log_;
  Steps& steps_;
  Accounts& accounts_;
  Challenges& challenges_;
};

}  // namespace quartzarch::acme
