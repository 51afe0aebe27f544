// A small fleet on loopback sockets in one event loop: three core machines, two proxies, and requests to
// them. Tests wait for events with a time limit and never sleep.
#pragma once

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>

#include "core_fleet.hpp"
#include "standins/system/server.hpp"
#include "system/proxy/proxy.hpp"
#include "system/registry/handlers.hpp"
#include "system/store/store.hpp"

namespace docklift::test {

namespace asio = boost::asio;

// Addresses of one process's machines, as test processes may run in parallel.
inline std::string ip(int machine) {
  return "127.61." + std::to_string(::getpid() % 200 + 20) + "." + std::to_string(machine);
}

// A configuration whose quota is above what the tests use up by polling.
inline std::string high_quota_config(std::uint64_t version, std::uint64_t parent) {
  auto body = config_body(version, parent);
  const std::string low_quota = R"("per_s":10,"burst":10)";
  body.replace(body.find(low_quota), low_quota.size(), R"("per_s":5000,"burst":5000)");
  // The latency target is long enough for a loaded machine: a request may wait a fraction of it for units.
  const std::string short_target = R"("target_ms":500)";
  body.replace(body.find(short_target), short_target.size(), R"("target_ms":20000)");
  const std::string short_timeout = R"("tmo_ms":1000)";
  return body.replace(body.find(short_timeout), short_timeout.size(), R"("tmo_ms":20000)");
}

// What a client received.
struct ClientResponse {
  std::string text;  // everything received
  int status = 0;
  std::string body;
};

class Fleet {
 public:
  // `proxy_settings`: additional lines of the proxies' settings, each ending with a newline.
  explicit Fleet(std::string proxy_settings = "")
      : port_(static_cast<std::uint16_t>(20000 + ::getpid() % 20000)),
        proxy_settings_(std::move(proxy_settings)) {
    char name[] = "/tmp/docklift-path-XXXXXX";
    directory_ = ::mkdtemp(name);
    for (int i = 1; i <= 3; ++i) start_core(i);
    for (int i = 4; i <= 5; ++i) start_proxy(i);
  }
  ~Fleet() {
    stop_all();
    std::filesystem::remove_all(directory_);
  }
  void stop_all() {
    // Pending callbacks run while their owners are alive, as in the programs, which destroy nothing before
    // their event loop has ended.
    io.restart();
    io.poll();
    proxies.clear(), http_servers.clear(), registries.clear();
    for (auto& store : stores) store->stop();
    io.restart();
    io.poll();  // runs the handlers of closed sockets
    stores.clear();
    io.restart();
  }

  std::string ctl(int machine) const { return ip(machine) + ":" + std::to_string(port_ + 10); }
  std::string dir(int machine) const { return ip(machine) + ":" + std::to_string(port_ + 11); }
  std::string http(int machine) const { return ip(machine) + ":" + std::to_string(port_ + 12); }
  std::string server(int n) const { return ip(9) + ":" + std::to_string(port_ + 20 + n); }

  bool until(const std::function<bool()>& done, Duration limit = 10s) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  // Sends the request text and reads until `responses` complete responses have arrived. Status and body are
  // those of the last one.
  ClientResponse exchange(const std::string& address, const std::string& request, std::size_t responses = 1,
                          const std::function<void()>& on_poll = {}) {
    Socket socket(io.get_executor());
    ClientResponse response;
    bool ended = false;
    std::size_t consumed = 0;
    char chunk[4096];
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(chunk), [&](boost::system::error_code error, std::size_t bytes) {
        response.text.append(chunk, bytes);
        while (true) {
          http::Head head;
          const auto rest = std::string_view(response.text).substr(consumed);
          const auto parsed = http::parse_response_head(rest, 65536, head);
          if (parsed.status != http::ParseStatus::complete) break;
          const auto length = static_cast<std::size_t>(
              http::parse_decimal(head.unique("Content-Length").value_or("0")).value_or(0));
          if (rest.size() < parsed.consumed + length) break;
          response.status = head.status;
          response.body = rest.substr(parsed.consumed, length);
          consumed += parsed.consumed + length;
          if (--responses == 0) return void(ended = true);
        }
        if (error) return void(ended = true);
        read();
      });
    };
    socket.async_connect(*snowknot::endpoint_of(address), [&](boost::system::error_code error) {
      if (error) return void(ended = true);
      asio::async_write(socket, asio::buffer(request),
                        [&](boost::system::error_code, std::size_t) { read(); });
    });
    BOOST_TEST(until([&] {
                 if (on_poll) on_poll();
                 return ended;
               }),
               "no response to " << request.substr(0, 40));
    snowknot::close_now(socket);
    io.poll();
    return response;
  }
  ClientResponse post(const std::string& address, const std::string& path, const std::string& body) {
    return exchange(address, "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  ClientResponse get(const std::string& address, const std::string& path) {
    return exchange(address, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  ClientResponse send_request(int proxy, const std::string& path, const std::string& key = "k1",
                              const std::string& extra = "") {
    return exchange(http(proxy), "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id" +
                                     std::to_string(++last_attempt_id_) +
                                     "\r\nDeadline: 9000\r\nTenant: forged\r\nKey: " + key + "\r\n" + extra +
                                     "\r\n");
  }
  ClientResponse heartbeat(const std::string& id, int n, const std::string& phase = "ready") {
    return post(ctl(1 + n % 3), "/Instances.Heartbeat/" + id,
                R"({"svc":"alpha","addr":")" + server(n) + R"(","az":"z1","gen":"v1","cap":4,"phase":")" +
                    phase + R"(","warm_left_ms":0,"calls":)" + std::to_string(++heartbeats_) + "}");
  }

  // Starts a core machine that joins later, or one that restarts with an empty disk.
  void join_core(int machine) { start_core(machine, false); }

  asio::io_context io{1};
  std::vector<std::unique_ptr<Store>> stores;
  std::vector<std::unique_ptr<Registry>> registries;
  std::vector<std::unique_ptr<http::Server>> http_servers;
  std::vector<std::unique_ptr<proxy::Proxy>> proxies;

  void start_core(int machine, bool bootstrap = true) {
    const auto s = settings(machine, bootstrap);
    auto disk = Disk::open(directory_ + "/" + s.hostname);
    BOOST_REQUIRE(!failed(disk));
    auto stored = value(disk)->read();
    stores.push_back(std::make_unique<Store>(io, s, std::move(value(disk)), std::move(value(stored))));
    stores.back()->start();
    registries.push_back(std::make_unique<Registry>(io, s, nullptr));
    auto& r = *registries.back();
    r.start();
    http_servers.push_back(std::make_unique<http::Server>(
        io, *snowknot::endpoint_of(ctl(machine)), http::ServerLimits{},
        dispatch({std::make_shared<ShutdownHandler>(r), std::make_shared<InstanceHandler>(r),
                  std::make_shared<ConfigurationHandler>(r), std::make_shared<EvacuationHandler>(r)})));
    http_servers.push_back(std::make_unique<http::Server>(io, *snowknot::endpoint_of(dir(machine)),
                                                          http::ServerLimits{},
                                                          dispatch({std::make_shared<ResolveHandler>(r)})));
  }
  void start_proxy(int machine) {
    proxies.push_back(std::make_unique<proxy::Proxy>(io, settings(machine, true, proxy_settings_)));
    BOOST_REQUIRE(!failed(proxies.back()->start()));
  }

  SystemSettings settings(int machine, bool bootstrap = true, const std::string& extra = "") {
    const auto port = [&](int offset) { return std::to_string(port_ + offset); };
    auto text = "hostname=m" + std::to_string(machine) + "\nbind_ip=" + ip(machine) +
                "\naz=z1\nrgn=r1\nazs.z1=r1\nport_range=" + port(0) + "," + port(5) + "\nseeds=" + ctl(1) +
                "," + ctl(2) + "," + ctl(3) + "\nbootstrap=" + (bootstrap ? "true" : "false") +
                "\nvoting=true\nhb_ms=1500\n" + "listen.ctl=" + ctl(machine) +
                "\nlisten.dir=" + dir(machine) + "\nlisten.http=" + http(machine) +
                "\nlimits.nofile=1024\nbounds.strict_revoke=true\n" + extra;
    auto read = parse_settings(text, "test");
    BOOST_REQUIRE(!failed(read));
    return value(read);
  }

 private:
  std::uint16_t port_;
  std::string proxy_settings_;
  std::string directory_;
  std::uint64_t last_attempt_id_ = 0, heartbeats_ = 0;
};

}  // namespace docklift::test
