// The accounts at the authorities: their keys, contacts and what they have ordered lately.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "acme/client.hpp"
#include "acme/environment.hpp"
#include "acme/settings.hpp"

namespace quartzarch::acme {

std::string span_text(Seconds seconds);

struct Account {
  Key key{};
  std::string url{};
  Budget orders{};
  std::vector<std::string> contact{};
};

// An account that is open, and a client that uses it.
struct Session {
  Account account{};
  std::unique_ptr<Client> client{};
};

class Accounts {
 public:
  Accounts(Store& store, const Settings& settings, const Environment& environment, Steps& steps)
      : store_(store), settings_(settings), environment_(environment), steps_(steps) {}

  Account load(std::size_t authority);
  void save(std::size_t authority, const Account& account);
  std::vector<Budget> budgets();
  // Opens it anew or changes its contact as the settings want it. Throws AcmeError, HttpError.
  std::unique_ptr<Session> open(std::size_t authority);
  // The authority does not know it: the next open() makes it anew by its key.
  void forget(std::size_t authority);
  void roll_over(std::size_t authority);
  void deactivate(std::size_t authority);

 private:
  std::string file(std::size_t authority, const char* suffix) const;
  void finish_roll_over(std::size_t authority, Session& session);

  Store& store_;
  const Settings& settings_;
  const Environment& environment_;
  Steps& steps_;
};

}  // namespace quartzarch::acme
