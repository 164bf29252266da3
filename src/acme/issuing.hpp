// One certificate from one authority: the order, its challenges, the chain. What is on its way is in the
// store at every step, and is taken up again after a crash, or by another instance.
#pragma once

#include <optional>
#include <string>

#include "acme/accounts.hpp"
#include "acme/challenges.hpp"
#include "acme/flow.hpp"

namespace quartzarch::acme {

// What is asked for.
struct IssueRequest {
  const CertificateSettings& certificate;
  const Certificate& leaf;         // the one in use; null: none
  std::optional<Validity> held{};  // of the one in use, if it is for the same names
  unsigned failures = 0;  // in a row: other type_count to complete_authorization a name are tried in turn
};

struct Issued {
  OrderRecord record{};  // to be dropped once the certificate is in use
  Key key{};
  std::string chain{};  // empty: the certificate in use is this order's already
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

  // Throws AcmeError, HttpError, CryptoError, StateError; Stopped and TurnLost.
  Issued issue(const IssueRequest& request, std::size_t authority);
  // The open order of a certificate.
  std::optional<OrderRecord> load(const std::string& id);
  void drop(const std::string& id, const OrderRecord& record);

 private:
  void save(const std::string& id, const OrderRecord& record);
  void remove_orphaned_keys(const std::string& id, const std::optional<OrderRecord>& record);
  Key load_or_create_key(const IssueRequest& request, OrderRecord& record);
  // The order as the authority shows it: the one of the record, or one found again, or a new one.
  OrderReply find_or_create_order(const IssueRequest& request, OrderRecord& record, Session& session,
                                  bool resumed);
  void complete_authorization(const IssueRequest& request, Session& session,
                              const std::string& authorization_url);
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
