// Caller addresses and networks, IPv4 and IPv6, on top of Boost.Asio. No I/O.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace quartzarch::gap {

using Address = boost::asio::ip::address;

// A network such as "10.2.0.0/16" or "2001:db8::/32", or a single address.
class Network {
 public:
  // Returns nothing if the text is not an address or a network.
  static std::optional<Network> parse(std::string_view text);
  bool contains(const Address& address) const;
  unsigned prefix_length() const;
  std::string str() const;
  // The address family and the bits of the prefix as a key for the prefix trie: "4" or "6", then '0' and '1'.
  std::string bits() const;

 private:
  using AnyNetwork = std::variant<boost::asio::ip::network_v4, boost::asio::ip::network_v6>;
  explicit Network(AnyNetwork network) : network_(std::move(network)) {}
  AnyNetwork network_;
};

// All bits of an address, in the form of Network::bits(). A v4-mapped IPv6 address counts as IPv4.
std::string bits_of(const Address& address);
// Converts a v4-mapped IPv6 address to IPv4; returns any other address unchanged.
Address unmapped(const Address& address);

}  // namespace quartzarch::gap
