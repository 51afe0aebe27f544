// Discovery: the list of app servers as it was known at the start, then a watch on what changes.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "call_pause.hpp"
#include "net/net.hpp"
#include "snowknot/gateway.hpp"

namespace snowknot {

class Discovery {
 public:
  struct Entry {
    ServerInfo info;
    Tcp::endpoint address;
  };
  using Told = std::function<void(ListKind, const std::vector<Entry>&)>;

  Discovery(asio::io_context& io, Timers& timers, const Tcp::endpoint& at, std::string host,
            std::map<std::string, std::uint32_t> zones, Told told, CallPause pause = {1, 0});

  ~Discovery();

  // Tells of the list as it was known before the start, and watches from there.
  void start(const nlohmann::json& known);
  // Watches at another address from now on. A watch that works goes on until the new one has begun.
  void move_to(const Tcp::endpoint& at, const std::string& host);
  std::uint64_t revision() const { return revision_; }
  std::size_t known_ids() const { return numbers_.size(); }

 private:
  class Watch;

  ServerId number_of(const std::string& id);
  void forget(const std::string& id);
  ZoneIndex zone_of(const std::string& name) const;
  std::optional<Entry> entry(const nlohmann::json& e);
  bool take(const nlohmann::json& list, bool cached);
  void begun(const Watch& watch);

  asio::io_context& io_;
  Timers& timers_;
  Tcp::endpoint at_;
  std::string host_;
  std::map<std::string, std::uint32_t> zones_;
  Told told_;
  std::map<std::string, ServerId> numbers_;  // of the servers that are listed
  std::map<ServerId, std::string> ids_;
  std::uint64_t revision_ = 0;
  CallPause pause_;
  std::shared_ptr<Watch> watch_, former_;  // former: at the address before, until the other one has begun
};

}  // namespace snowknot
