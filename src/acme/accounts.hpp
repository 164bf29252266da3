// The accounts at the authorities as stored: key, URL, contacts and the budget for new orders.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "acme/client.hpp"
#include "acme/environment.hpp"
#include "acme/settings.hpp"

namespace quartzarch::acme {

// A duration for log lines, in its largest unit of which it has at least two: "3 h".
std::string duration_text(Seconds seconds);

struct Account {
  Key key{};          // null: none yet
  std::string url{};  // empty: not opened yet, or unknown to the authority
  Budget orders{};    // recent new orders, for the rate limit
  std::vector<std::string> contact{};
};

// An open account and a client that uses it.
struct Session {
  Account account{};
  std::unique_ptr<Client> client{};
};

// Loads, opens and changes the accounts; an authority is given by its index in the settings.
class Accounts {
 public:
  Accounts(Store& store, const Settings& settings, const Environment& environment, Steps& steps)
      : store_(store), settings_(settings), environment_(environment), steps_(steps) {}

  Account load(std::size_t authority);
  void save(std::size_t authority, const Account& account);
  // The order budgets of all accounts, in the order of the authorities.
  std::vector<Budget> budgets();
  // Opens the account: creates the key and the account if needed, completes an interrupted key rollover and
  // updates the contacts to those in the settings. Throws AcmeError, HttpError.
  std::unique_ptr<Session> open(std::size_t authority);
  // Clears the account's URL after the authority answered that the account does not exist; the next open()
  // registers it again with the same key.
  void clear_url(std::size_t authority);
  // Replaces the account's key. The new key is stored before it is sent, so that a crash cannot lose it.
  void roll_over(std::size_t authority);
  // Deactivates the account and removes it from the store; a copy of its key is retained.
  void deactivate(std::size_t authority);

 private:
  std::string file(std::size_t authority, const char* suffix) const;
  // Completes a key rollover that a crash interrupted.
  void finish_roll_over(std::size_t authority, Session& session);

  Store& store_;
  const Settings& settings_;
  const Environment& environment_;
  Steps& steps_;
};

}  // namespace quartzarch::acme
