#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "net/net.hpp"

namespace snowknot {

std::optional<Tcp::endpoint> endpoint_of(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  error_code failed;
  const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), failed);
  const auto port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, wrong] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (failed || wrong != std::errc{} || end != port_text.data() + port_text.size() || port == 0)
    return std::nullopt;
  return Tcp::endpoint(address, port);
}

}  // namespace snowknot
