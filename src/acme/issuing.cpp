#include "acme/issuing.hpp"

#include <algorithm>
#include <utility>

#include "acme/records.hpp"

namespace quartzarch::acme {
namespace {

using std::chrono::milliseconds;

constexpr Seconds kLongestPause{60};
constexpr std::size_t kOrdersLookedAt = 20;
constexpr int kFetches = 2;  // of a chain that came cut short

bool ends_the_order(const AcmeError& error) {
  for (const char* const each : {"badCSR", "badPublicKey", "unauthorized", "malformed"}) {
    if (error.type == each) return true;
  }
  return error.status == 404;
}

std::string record_of(const std::string& id) { return id + ".order.json"; }

}  // namespace

std::optional<OrderRecord> Issuing::load(const std::string& id) {
  const auto text = store_.read(record_of(id));
  if (!text) return std::nullopt;
  auto record = parse_order(*text);
  if (!record) store_.put_aside(record_of(id), "no order");
  return record;
}

void Issuing::save(const std::string& id, const OrderRecord& record) {
  store_.write(record_of(id), to_text(record));
}

void Issuing::drop(const std::string& id, const OrderRecord& record) {
  store_.remove(record_of(id));
  if (!record.key_file.empty()) store_.remove(record.key_file);
}

// Keys that a crash left behind after their order had gone.
void Issuing::drop_stray_keys(const std::string& id, const std::optional<OrderRecord>& record) {
  for (const std::string& each : store_.list(id + ".key-", ".pem")) {
    if (!record || each != record->key_file) store_.remove(each);
  }
}

Issued Issuing::issue(const Wish& wish, std::size_t authority) {
  const AuthoritySettings& settings = settings_.authorities[authority];
  std::vector<std::string> directories;
  for (const auto& each : settings_.authorities) directories.push_back(each.access.directory);
  auto record = load(wish.certificate.id);
  if (record && wish.leaf && !record->key_file.empty()) {
    // It died between the swap and the tidying up: the certificate in use has the order's key.
    const auto pem = store_.read_pem(record->key_file);
    if (pem && pem->view().find("PRIVATE KEY") != std::string_view::npos &&
        belongs_to(wish.leaf, key_from_pem(pem->view()))) {
      return {*record, {}, {}};
    }
  }
  if (record && (!fits(*record, wish.certificate.names, wish.certificate.key_type, directories) ||
                 record->authority != authority)) {
    drop(wish.certificate.id, *record);
    record.reset();
  }
  drop_stray_keys(wish.certificate.id, record);
  const auto session = accounts_.open(authority);
  const bool taken_up = record.has_value();
  if (!record) {
    record.emplace();
    record->authority = authority;
    record->directory = settings.access.directory;
    record->names = wish.certificate.names;
    record->key_type = wish.certificate.key_type;
    record->key_file = wish.certificate.id + ".key-" + std::to_string(random_bits()) + ".pem";
    if (wish.leaf && session->client->has_renewal_info()) record->replaces = renewal_id(wish.leaf);
    record->made = steps_.now();
    steps_.step("intent");
    save(wish.certificate.id, *record);
  }
  Key key = key_of(wish, *record);
  OrderReply reply = place(wish, *record, *session, taken_up);
  Client& client = *session->client;
  Seconds waited{0};
  const auto look_again = [&](const char* what) {
    const Seconds pause = std::clamp(reply.retry_after.value_or(Seconds(0)), Seconds(0), kLongestPause);
    const auto longer = std::max<milliseconds>(pause, settings_.poll);
    waited += std::chrono::ceil<Seconds>(longer);
    if (waited > settings_.patience) throw AcmeError(Failure::unreachable, what, reply.retry_after);
    steps_.wait(longer);
    reply = client.order(record->url);
  };
  bool authorized = false;
  for (;;) {
    switch (next_step(*record, reply.view, steps_.now(), settings_.order_patience)) {
      case Step::authorize:
        if (std::exchange(authorized, true)) {
          look_again("the order stays pending though every authorization is valid");
          break;
        }
        try {
          for (const std::string& url : reply.view.authorizations) prove(wish, *session, url);
        } catch (const AcmeError& error) {
          if (error.why == Failure::rejected) drop(wish.certificate.id, *record);  // it is invalid with it
          throw;
        }
        reply = client.order(record->url);
        break;
      case Step::finalize:
        record->finalized = true;
        steps_.step("finalize");
        save(wish.certificate.id, *record);
        steps_.step("finalize sent");
        try {
          reply = client.finalize(record->url, reply.view.finalize, certificate_request(key, record->names));
        } catch (const AcmeError& error) {
          if (ends_the_order(error)) drop(wish.certificate.id, *record);
          throw;
        }
        steps_.step("finalized");
        break;
      case Step::look_again:
        look_again("the order is still in processing");
        break;
      case Step::fetch:
        return fetch(wish, *record, *session, std::move(key), reply.view);
      case Step::abandon:
        drop(wish.certificate.id, *record);
        // What was left of an earlier attempt has come to nothing meanwhile: this one has not begun yet.
        if (taken_up && !authorized && !record->finalized) return issue(wish, authority);
        throw AcmeError(
            reply.error ? reply.error->failure() : Failure::rejected,
            "the order came to nothing" + (reply.error ? ": " + reply.error->plain() : std::string()));
    }
  }
}

// A new key for each order. The record that names its file is on disk before it.
Key Issuing::key_of(const Wish& wish, OrderRecord& record) {
  if (const auto pem = store_.read_pem(record.key_file)) {
    try {
      return key_from_pem(pem->view());
    } catch (const CryptoError& error) {
      store_.put_aside(record.key_file, error.what());
    }
  }
  if (record.finalized) {
    drop(wish.certificate.id, record);
    throw AcmeError(Failure::local, "the key of the open order is gone; a new order is needed");
  }
  Key key = new_key(record.key_type);
  steps_.step("key");
  store_.write_pem(record.key_file, pem_of(key));
  steps_.step("key written");
  return key;
}

OrderReply Issuing::place(const Wish& wish, OrderRecord& record, Session& session, bool taken_up) {
  Client& client = *session.client;
  if (!record.url.empty()) {
    try {
      return client.order(record.url);
    } catch (const AcmeError& error) {
      if (ends_the_order(error)) drop(wish.certificate.id, record);
      throw;
    }
  }
  if (taken_up) {
    // The request may have been taken and its answer lost.
    client.open_account(true);
    std::vector<std::string> urls = client.orders();
    if (urls.size() > kOrdersLookedAt) urls.erase(urls.begin(), urls.end() - kOrdersLookedAt);
    std::vector<OrderReply> replies;
    std::vector<OrderView> views;
    for (const std::string& url : urls) {
      replies.push_back(client.order(url));
      views.push_back(replies.back().view);
    }
    if (const auto found = match(record, views)) {
      record.url = urls[*found];
      save(wish.certificate.id, record);
      return replies[*found];
    }
  }
  const Instant now = steps_.now();
  if (const Instant free = session.account.orders.free_at(now); free > now) {
    throw AcmeError(Failure::local, "the account has placed as many orders as it may for now", free - now);
  }
  session.account.orders.spend(now);
  accounts_.save(record.authority, session.account);
  steps_.step("new order");
  OrderReply reply = client.new_order(record.names, record.replaces);
  steps_.step("order placed");
  record.url = reply.url;
  save(wish.certificate.id, record);
  steps_.step("order kept");
  return reply;
}

void Issuing::prove(const Wish& wish, Session& session, const std::string& url) {
  Client& client = *session.client;
  Authorization authorization = client.authorization(url);
  const auto rejected = [&] {
    std::string why;
    for (const Challenge& each : authorization.challenges) {
      if (each.error) why += ": " + each.type + ": " + each.error->plain();
    }
    return AcmeError(Failure::rejected,
                     "the authorization of " + authorization.name + " is " + authorization.status + why);
  };
  if (authorization.status == "valid") return;  // of an earlier order
  if (authorization.status != "pending") throw rejected();
  // After failures the other ways are tried in turn.
  const Challenge* chosen = nullptr;
  const std::size_t ways = settings_.challenges.size();
  for (std::size_t i = 0; i < ways && !chosen; ++i) {
    const std::string& type = settings_.challenges[(wish.failures + i) % ways];
    for (const Challenge& each : authorization.challenges) {
      if (each.type == type) chosen = &each;
    }
  }
  if (!chosen) throw AcmeError(Failure::refused, "the authority offers no challenge that is allowed here");
  struct TakeDown {
    Issuing& issuing;
    const std::string& name;
    ~TakeDown() {
      try {
        issuing.challenges_.take_down(issuing.steps_.now(), name);
      } catch (const StateError& error) {
        issuing.log_.line("certificates: %s", error.what());
      } catch (const TurnLost&) {
        // Whoever has the turn now finds it, and its time is limited.
      }
    }
  };
  const std::string name = authorization.name;
  steps_.step("challenge");
  challenges_.put_up(steps_.now(), name, chosen->type, chosen->token,
                     chosen->token + "." + thumbprint(session.account.key));
  const TakeDown at_the_end{*this, name};
  steps_.wait(settings_.settle);
  steps_.step("challenge put up");
  if (chosen->status != "processing") client.answer(chosen->url);
  steps_.step("challenge asked for");
  for (milliseconds waited{0};;) {
    authorization = client.authorization(url);
    if (authorization.status == "valid") return;
    if (authorization.status != "pending") throw rejected();
    waited += settings_.poll;
    if (waited > settings_.patience) {
      throw AcmeError(Failure::unreachable, "the authority does not decide on the challenge for " + name);
    }
    steps_.wait(settings_.poll);
  }
}

Issued Issuing::fetch(const Wish& wish, OrderRecord& record, Session& session, Key key,
                      const OrderView& view) {
  std::string chain =
      session.client->chain(view.certificate, settings_.authorities[record.authority].preferred_issuer);
  steps_.step("fetched");
  const std::string wrong = unsound(chain, key, record.names, steps_.now(), wish.held);
  if (!wrong.empty()) {
    // It may have come cut short on the way; if not, the order is of no use.
    if (++record.fetches >= kFetches) {
      drop(wish.certificate.id, record);
    } else {
      save(wish.certificate.id, record);
    }
    throw AcmeError(Failure::unusable, "the certificate is not used: " + wrong);
  }
  return {record, std::move(key), chain};
}

}  // namespace quartzarch::acme
