#include "acme/issuing.hpp"

#include <algorithm>
#include <utility>

#include "acme/records.hpp"

namespace quartzarch::acme {
namespace {

using std::chrono::milliseconds;

constexpr Seconds kMaxPollInterval{60};
constexpr std::size_t kMaxOrdersChecked = 20;
constexpr int kMaxChainFetches = 2;  // a chain may arrive truncated

bool is_fatal_for_order(const AcmeError& error) {
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
  if (!record) store_.quarantine(record_of(id), "not an order record");
  return record;
}

void Issuing::save(const std::string& id, const OrderRecord& record) {
  store_.write(record_of(id), to_text(record));
}

void Issuing::drop(const std::string& id, const OrderRecord& record) {
  store_.remove(record_of(id));
  if (!record.key_file.empty()) store_.remove(record.key_file);
}

void Issuing::remove_orphaned_keys(const std::string& id, const std::optional<OrderRecord>& record) {
  for (const std::string& each : store_.list(id + ".key-", ".pem")) {
    if (!record || each != record->key_file) store_.remove(each);
  }
}

Issued Issuing::issue(const IssueRequest& request, std::size_t authority) {
  const AuthoritySettings& settings = settings_.authorities[authority];
  std::vector<std::string> directories;
  for (const auto& each : settings_.authorities) directories.push_back(each.access.directory);
  auto record = load(request.certificate.id);
  if (record && request.leaf && !record->key_file.empty()) {
    // If the certificate in use has the order's key, the process ended after installing the certificate and
    // before removing the order.
    const auto pem = store_.read_pem(record->key_file);
    if (pem && pem->view().find("PRIVATE KEY") != std::string_view::npos &&
        matches_key(request.leaf, key_from_pem(pem->view()))) {
      return {*record, {}, {}};
    }
  }
  if (record &&
      (!matches_request(*record, request.certificate.names, request.certificate.key_type, directories) ||
       record->authority != authority)) {
    drop(request.certificate.id, *record);
    record.reset();
  }
  remove_orphaned_keys(request.certificate.id, record);
  const auto session = accounts_.open(authority);
  const bool resumed = record.has_value();
  if (!record) {
    record.emplace();
    record->authority = authority;
    record->directory = settings.access.directory;
    record->names = request.certificate.names;
    record->key_type = request.certificate.key_type;
    record->key_file = request.certificate.id + ".key-" + std::to_string(random_bits()) + ".pem";
    if (request.leaf && session->client->has_renewal_info()) record->replaces = renewal_id(request.leaf);
    record->created_at = steps_.now();
    steps_.step("intent");
    save(request.certificate.id, *record);
  }
  Key key = load_or_create_key(request, *record);
  OrderReply reply = find_or_create_order(request, *record, *session, resumed);
  Client& client = *session->client;
  Seconds waited{0};
  const auto poll = [&](const char* what) {
    const Seconds pause = std::clamp(reply.retry_after.value_or(Seconds(0)), Seconds(0), kMaxPollInterval);
    const auto delay = std::max<milliseconds>(pause, settings_.poll_interval);
    waited += std::chrono::ceil<Seconds>(delay);
    if (waited > settings_.step_timeout) throw AcmeError(Failure::unreachable, what, reply.retry_after);
    steps_.wait(delay);
    reply = client.order(record->url);
  };
  bool authorized = false;
  for (;;) {
    switch (next_step(*record, reply.view, steps_.now(), settings_.order_timeout)) {
      case OrderStep::authorize:
        if (std::exchange(authorized, true)) {
          poll("the order stays pending although every authorization is valid");
          break;
        }
        try {
          for (const std::string& url : reply.view.authorizations)
            complete_authorization(request, *session, url);
        } catch (const AcmeError& error) {
          if (error.why == Failure::rejected) drop(request.certificate.id, *record);  // invalidates the order
          throw;
        }
        reply = client.order(record->url);
        break;
      case OrderStep::finalize:
        record->finalized = true;
        steps_.step("finalize");
        save(request.certificate.id, *record);
        steps_.step("finalize sent");
        try {
          reply = client.finalize(record->url, reply.view.finalize, certificate_request(key, record->names));
        } catch (const AcmeError& error) {
          if (is_fatal_for_order(error)) drop(request.certificate.id, *record);
          throw;
        }
        steps_.step("finalized");
        break;
      case OrderStep::poll:
        poll("the order is still processing");
        break;
      case OrderStep::fetch:
        return fetch(request, *record, *session, std::move(key), reply.view);
      case OrderStep::abandon:
        drop(request.certificate.id, *record);
        // The order of an earlier attempt has failed meanwhile; this attempt starts over with a new one.
        if (resumed && !authorized && !record->finalized) return issue(request, authority);
        throw AcmeError(reply.error ? reply.error->failure() : Failure::rejected,
                        "the order failed" + (reply.error ? ": " + reply.error->to_line() : std::string()));
    }
  }
}

Key Issuing::load_or_create_key(const IssueRequest& request, OrderRecord& record) {
  if (const auto pem = store_.read_pem(record.key_file)) {
    try {
      return key_from_pem(pem->view());
    } catch (const CryptoError& error) {
      store_.quarantine(record.key_file, error.what());
    }
  }
  if (record.finalized) {
    drop(request.certificate.id, record);
    throw AcmeError(Failure::local, "the key of the finalized order is missing; a new order is needed");
  }
  Key key = new_key(record.key_type);
  steps_.step("key");
  store_.write_pem(record.key_file, pem_of(key));
  steps_.step("key written");
  return key;
}

OrderReply Issuing::find_or_create_order(const IssueRequest& request, OrderRecord& record, Session& session,
                                         bool resumed) {
  Client& client = *session.client;
  if (!record.url.empty()) {
    try {
      return client.order(record.url);
    } catch (const AcmeError& error) {
      if (is_fatal_for_order(error)) drop(request.certificate.id, record);
      throw;
    }
  }
  if (resumed) {
    // The newOrder request may have been accepted and its response lost.
    client.open_account(true);
    std::vector<std::string> urls = client.orders();
    if (urls.size() > kMaxOrdersChecked) urls.erase(urls.begin(), urls.end() - kMaxOrdersChecked);
    std::vector<OrderReply> replies;
    std::vector<OrderView> views;
    for (const std::string& url : urls) {
      replies.push_back(client.order(url));
      views.push_back(replies.back().view);
    }
    if (const auto found = find_placed_order(record, views)) {
      record.url = urls[*found];
      save(request.certificate.id, record);
      return replies[*found];
    }
  }
  const Instant now = steps_.now();
  if (const Instant free = session.account.orders.free_at(now); free > now) {
    throw AcmeError(Failure::local, "the rate limit for new orders of the account is reached", free - now);
  }
  session.account.orders.spend(now);
  accounts_.save(record.authority, session.account);
  steps_.step("new order");
  OrderReply reply = client.new_order(record.names, record.replaces);
  steps_.step("order placed");
  record.url = reply.url;
  save(request.certificate.id, record);
  steps_.step("order kept");
  return reply;
}

void Issuing::complete_authorization(const IssueRequest& request, Session& session, const std::string& url) {
  Client& client = *session.client;
  Authorization authorization = client.authorization(url);
  const auto rejected = [&] {
    std::string why;
    for (const Challenge& each : authorization.challenges) {
      if (each.error) why += ": " + each.type + ": " + each.error->to_line();
    }
    return AcmeError(Failure::rejected,
                     "the authorization of " + authorization.name + " is " + authorization.status + why);
  };
  if (authorization.status == "valid") return;  // reused from an earlier order
  if (authorization.status != "pending") throw rejected();
  // Each failure moves on to the next configured challenge type.
  const Challenge* chosen = nullptr;
  const std::size_t type_count = settings_.challenges.size();
  for (std::size_t i = 0; i < type_count && !chosen; ++i) {
    const std::string& type = settings_.challenges[(request.failures + i) % type_count];
    for (const Challenge& each : authorization.challenges) {
      if (each.type == type) chosen = &each;
    }
  }
  if (!chosen)
    throw AcmeError(Failure::refused, "the authority offers no challenge type that the settings allow");
  struct WithdrawOnExit {
    Issuing& issuing;
    const std::string& name;
    ~WithdrawOnExit() {
      try {
        issuing.challenges_.withdraw(issuing.steps_.now(), name);
      } catch (const StateError& error) {
        issuing.log_.line("certificates: %s", error.what());
      } catch (const LeaseLost&) {
        // The instance that holds the lease now finds the challenge, which also expires.
      }
    }
  };
  const std::string name = authorization.name;
  steps_.step("challenge");
  challenges_.publish(steps_.now(), name, chosen->type, chosen->token,
                      chosen->token + "." + thumbprint(session.account.key));
  const WithdrawOnExit withdraw_on_exit{*this, name};
  steps_.wait(settings_.publish_delay);
  steps_.step("challenge put up");
  if (chosen->status != "processing") client.respond_to_challenge(chosen->url);
  steps_.step("challenge asked for");
  for (milliseconds waited{0};;) {
    authorization = client.authorization(url);
    if (authorization.status == "valid") return;
    if (authorization.status != "pending") throw rejected();
    waited += settings_.poll_interval;
    if (waited > settings_.step_timeout) {
      throw AcmeError(Failure::unreachable,
                      "the authority did not validate the challenge in time for " + name);
    }
    steps_.wait(settings_.poll_interval);
  }
}

Issued Issuing::fetch(const IssueRequest& request, OrderRecord& record, Session& session, Key key,
                      const OrderView& view) {
  std::string chain =
      session.client->chain(view.certificate, settings_.authorities[record.authority].preferred_issuer);
  steps_.step("fetched");
  const std::string defect = chain_defect(chain, key, record.names, steps_.now(), request.held);
  if (!defect.empty()) {
    // The chain may have been truncated in transit; if it is unusable again, the order is abandoned.
    if (++record.fetches >= kMaxChainFetches) {
      drop(request.certificate.id, record);
    } else {
      save(request.certificate.id, record);
    }
    throw AcmeError(Failure::unusable, "the issued certificate is unusable: " + defect);
  }
  return {record, std::move(key), chain};
}

}  // namespace quartzarch::acme
