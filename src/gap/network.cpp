#include "gap/network.hpp"

namespace quartzarch::gap {
namespace {

namespace ip = boost::asio::ip;

template <typename Bytes>
std::string bits(char family, const Bytes& bytes, unsigned count) {
  std::string text(1, family);
  text.reserve(1 + count);
  for (unsigned i = 0; i < count; ++i) text += (bytes[i / 8] >> (7 - i % 8) & 1) != 0 ? '1' : '0';
  return text;
}

}  // namespace

Address unmapped(const Address& address) {
  if (address.is_v6() && address.to_v6().is_v4_mapped()) {
    return ip::make_address_v4(ip::v4_mapped, address.to_v6());
  }
  return address;
}

std::optional<Network> Network::parse(std::string_view view) {
  const std::string text(view);
  boost::system::error_code error;
  if (text.find('/') == std::string::npos) {
    const Address address = unmapped(ip::make_address(text, error));
    if (error) return std::nullopt;
    if (address.is_v4()) return Network(ip::network_v4(address.to_v4(), 32));
    return Network(ip::network_v6(address.to_v6(), 128));
  }
  const auto v4 = ip::make_network_v4(text, error);
  if (!error) return Network(v4.canonical());
  const auto v6 = ip::make_network_v6(text, error);
  if (!error) return Network(v6.canonical());
  return std::nullopt;
}

bool Network::contains(const Address& given) const { return bits_of(given).starts_with(bits()); }

unsigned Network::prefix_length() const {
  return std::visit([](const auto& network) { return static_cast<unsigned>(network.prefix_length()); },
                    network_);
}

std::string Network::str() const {
  return std::visit([](const auto& network) { return network.to_string(); }, network_);
}

std::string Network::bits() const {
  const unsigned count = prefix_length();
  if (const auto* const v4 = std::get_if<ip::network_v4>(&network_)) {
    return gap::bits('4', v4->network().to_bytes(), count);
  }
  return gap::bits('6', std::get<ip::network_v6>(network_).network().to_bytes(), count);
}

std::string bits_of(const Address& given) {
  const Address address = unmapped(given);
  if (address.is_v4()) return bits('4', address.to_v4().to_bytes(), 32);
  return bits('6', address.to_v6().to_bytes(), 128);
}

}  // namespace quartzarch::gap
