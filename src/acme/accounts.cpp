#include "acme/accounts.hpp"

#include "acme/records.hpp"

namespace quartzarch::acme {
namespace {

// A larger difference to the authority's clock means that the local clock is wrong.
constexpr Seconds kMaxClockDifference = std::chrono::hours(1);

}  // namespace

std::string duration_text(Seconds seconds) {
  const auto count = seconds.count();
  if (count >= 2 * 86400) return std::to_string(count / 86400) + " d";
  if (count >= 2 * 3600) return std::to_string(count / 3600) + " h";
  if (count >= 2 * 60) return std::to_string(count / 60) + " min";
  return std::to_string(count) + " s";
}

std::string Accounts::file(std::size_t authority, const char* suffix) const {
  const std::string& url = settings_.authorities[authority].access.directory;
  return "account-" + hex(sha256(url)).substr(0, 16) + suffix;
}

Account Accounts::load(std::size_t authority) {
  Account account;
  account.orders = Budget(settings_.policy.orders.most, settings_.policy.orders.span);
  const std::string key_file = file(authority, ".key.pem");
  if (const auto pem = store_.read_pem(key_file)) {
    try {
      account.key = key_from_pem(pem->view());
    } catch (const CryptoError& error) {
      store_.quarantine(key_file, error.what());
    }
  }
  const auto text = store_.read(file(authority, ".json"));
  if (auto record = text ? parse_account(*text) : std::nullopt) {
    if (account.key) account.url = std::move(record->url);
    account.contact = std::move(record->contact);
    account.orders.restore(std::move(record->orders));
  }
  return account;
}

void Accounts::save(std::size_t authority, const Account& account) {
  store_.write(file(authority, ".json"),
               to_text(AccountRecord{settings_.authorities[authority].access.directory, account.url,
                                     account.contact, account.orders.events()}));
}

std::vector<Budget> Accounts::budgets() {
  std::vector<Budget> all;
  for (std::size_t i = 0; i < settings_.authorities.size(); ++i) all.push_back(load(i).orders);
  return all;
}

std::unique_ptr<Session> Accounts::open(std::size_t authority) {
  const AuthoritySettings& settings = settings_.authorities[authority];
  auto session = std::make_unique<Session>();
  Account& account = session->account = load(authority);
  session->client = std::make_unique<Client>(settings.access, environment_.now, environment_.stopped);
  Client& client = *session->client;
  client.has_renewal_info();  // fetches the directory, whose response has the authority's time
  if (const Seconds difference = client.clock_ahead(); std::chrono::abs(difference) > kMaxClockDifference) {
    throw AcmeError(Failure::local, "the local clock and the authority's differ by " +
                                        duration_text(std::chrono::abs(difference)) +
                                        ": no certificate is ordered with a wrong clock");
  }
  if (!account.key) {
    // The key is stored before the account is created: after a crash the account is found again by its key.
    account.key = new_key();
    steps_.step("account key");
    store_.write_pem(file(authority, ".key.pem"), pem_of(account.key));
    account.url.clear();
  }
  client.use_account(account.key, account.url);
  finish_roll_over(authority, *session);
  if (account.url.empty()) {
    steps_.step("new account");
    client.open_account();
    account.url = client.account_url();
    account.contact = settings.access.contact;
    steps_.step("account open");
    save(authority, account);
  } else if (account.contact != settings.access.contact) {
    client.change_contact();
    account.contact = settings.access.contact;
    save(authority, account);
  }
  return session;
}

// An interrupted rollover leaves the new key in the store. If the authority has an account with that key, the
// rollover took effect there and the key replaces the old one; otherwise the new key is removed.
void Accounts::finish_roll_over(std::size_t authority, Session& session) {
  const std::string next_key_file = file(authority, ".next.pem");
  const auto pem = store_.read_pem(next_key_file);
  if (!pem) return;
  Key next_key;
  try {
    next_key = key_from_pem(pem->view());
  } catch (const CryptoError& error) {
    return store_.quarantine(next_key_file, error.what());
  }
  session.client->use_account(next_key, {});
  if (const auto url = session.client->open_account(true)) {
    store_.write_pem(file(authority, ".key.pem"), *pem);
    session.account.key = std::move(next_key);
    session.account.url = *url;
    save(authority, session.account);
  }
  session.client->use_account(session.account.key, session.account.url);
  store_.remove(next_key_file);
}

void Accounts::clear_url(std::size_t authority) {
  Account account = load(authority);
  account.url.clear();
  save(authority, account);
}

void Accounts::roll_over(std::size_t authority) {
  const auto session = open(authority);
  Key next_key = new_key();
  const Secret pem = pem_of(next_key);
  steps_.step("next key");
  store_.write_pem(file(authority, ".next.pem"), pem);
  steps_.step("roll over");
  session->client->roll_over(next_key);
  steps_.step("rolled over");
  store_.write_pem(file(authority, ".key.pem"), pem);
  store_.remove(file(authority, ".next.pem"));
}

void Accounts::deactivate(std::size_t authority) {
  open(authority)->client->deactivate();
  // The key cannot be used any more: the next order creates a new account with a new key.
  store_.quarantine(file(authority, ".key.pem"), "the account is deactivated");
  store_.remove(file(authority, ".key.pem"));
  store_.remove(file(authority, ".json"));
}

}  // namespace quartzarch::acme
