#include "gap/gate.hpp"

namespace quartzarch::gap {
namespace {

Call call_of(const Request& request) {
  return {request.number, request.call_class, boost::asio::ip::address_v4(request.caller),
          request.protocol == FrontProtocol::sip ? FrontKind::sip : FrontKind::binary, request.retry};
}

}  // namespace

std::optional<Duration> GapGate::rejected_for(const Request& request, Time now) {
  heavy_hitters_.offered(now, request.number);
  const Verdict verdict = table_.offer(now, call_of(request));
  if (verdict.pass) return std::nullopt;
  heavy_hitters_.refused(now, request.number);
  return verdict.wait;
}

std::optional<Duration> GapGate::offer_to_rule(const std::string& id, const Request& request, Time now) {
  const Verdict verdict = table_.offer_to_rule(id, now, call_of(request));
  if (verdict.pass) return std::nullopt;
  heavy_hitters_.refused(now, request.number);
  return verdict.wait;
}

}  // namespace quartzarch::gap
