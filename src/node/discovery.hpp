// Discovery: the list of app servers as it was known at the start, then a watch on what changes.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "net.hpp"
#include "snowknot/gateway.hpp"

namespace snowknot {

namespace http = boost::beast::http;

// The address in a text of address and port, or none.
std::optional<Tcp::endpoint> endpoint_of(std::string_view text);

class Discovery {
 public:
  struct Entry {
    ServerInfo info;
    Tcp::endpoint address;
  };
  using Told = std::function<void(ListKind, const std::vector<Entry>&)>;

  Discovery(asio::io_context& io, Timers& timers, const Tcp::endpoint& at, std::string host,
            std::map<std::string, std::uint32_t> zones, Told told);

  // Tells of the list as it was known before the start, and watches from there.
  void start(const nlohmann::json& known);
  std::uint64_t revision() const { return revision_; }

 private:
  ServerId number_of(const std::string& id);
  ZoneIndex zone_of(const std::string& name);
  std::optional<Entry> entry(const nlohmann::json& e);
  bool take(const nlohmann::json& list, bool cached);

  void connect();
  void read();
  void on_read(const error_code& failed, std::size_t bytes);
  bool take_bytes();
  void again();
  void expect_line();

  Timers& timers_;
  Tcp::endpoint at_;
  std::string host_;
  std::map<std::string, std::uint32_t> zones_;
  Told told_;
  std::map<std::string, ServerId> numbers_;
  std::map<ServerId, std::string> ids_;
  std::uint64_t revision_ = 0;

  Socket socket_;
  std::uint64_t life_ = 0;  // number of the connection
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  Timers::Handle silence_;
  Duration backoff_{};
};

}  // namespace snowknot
