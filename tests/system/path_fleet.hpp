// A small fleet on loopback sockets in one loop: three core machines, two proxies, and calls to them. What is
// waited for is an event, with a limit; nothing sleeps.
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

// Addresses of one test's machines; tests may run side by side.
inline std::string ip(int machine) {
  return "127.61." + std::to_string(::getpid() % 200 + 20) + "." + std::to_string(machine);
}

// With a quota that the polling of these tests stays inside.
inline std::string wide_body(std::uint64_t version, std::uint64_t parent) {
  auto body = config_body(version, parent);
  const std::string narrow = R"("per_s":10,"burst":10)";
  body.replace(body.find(narrow), narrow.size(), R"("per_s":5000,"burst":5000)");
  // And with an aim that a loaded machine meets: of it a request waits a part for units.
  const std::string quick = R"("target_ms":500)";
  body.replace(body.find(quick), quick.size(), R"("target_ms":20000)");
  const std::string held = R"("tmo_ms":1000)";
  return body.replace(body.find(held), held.size(), R"("tmo_ms":20000)");
}

struct Call {
  std::string text;  // the whole answer
  int status = 0;
  std::string body;
};

class Fleet {
 public:
  // `proxy_settings`: further lines for the proxies, each with its line end.
  explicit Fleet(std::string proxy_settings = "")
      : port_(static_cast<std::uint16_t>(20000 + ::getpid() % 20000)),
        proxy_settings_(std::move(proxy_settings)) {
    char name[] = "/tmp/docklift-path-XXXXXX";
    folder_ = ::mkdtemp(name);
    for (int i = 1; i <= 3; ++i) start_core(i);
    for (int i = 4; i <= 5; ++i) start_proxy(i);
  }
  ~Fleet() {
    end_all();
    std::filesystem::remove_all(folder_);
  }
  void end_all() {
    // What is due runs while its owner is alive: the programs destroy nothing before their loop has ended.
    io.restart();
    io.poll();
    proxies.clear(), doors.clear(), registries.clear();
    for (auto& store : stores) store->stop();
    io.restart();
    io.poll();  // what was closed lets go
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

  // Until `answers` whole answers have come; status and body are those of the last.
  Call call(const std::string& address, const std::string& request, std::size_t answers = 1,
            const std::function<void()>& meanwhile = {}) {
    Socket socket(io.get_executor());
    Call c;
    bool ended = false;
    std::size_t taken = 0;
    char chunk[4096];
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(chunk), [&](boost::system::error_code failed, std::size_t n) {
        c.text.append(chunk, n);
        while (true) {
          http::Head h;
          const auto rest = std::string_view(c.text).substr(taken);
          const auto r = http::read_answer(rest, 65536, h);
          if (r.read != http::Read::done) break;
          const auto length = static_cast<std::size_t>(
              http::number(h.only("Content-Length").value_or("0")).value_or(0));
          if (rest.size() < r.used + length) break;
          c.status = h.status;
          c.body = rest.substr(r.used, length);
          taken += r.used + length;
          if (--answers == 0) return void(ended = true);
        }
        if (failed) return void(ended = true);
        read();
      });
    };
    socket.async_connect(*snowknot::endpoint_of(address), [&](boost::system::error_code failed) {
      if (failed) return void(ended = true);
      asio::async_write(socket, asio::buffer(request),
                        [&](boost::system::error_code, std::size_t) { read(); });
    });
    BOOST_TEST(until([&] {
                 if (meanwhile) meanwhile();
                 return ended;
               }),
               "no answer to " << request.substr(0, 40));
    snowknot::close_now(socket);
    io.poll();
    return c;
  }
  Call post(const std::string& address, const std::string& path, const std::string& body) {
    return call(address, "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  Call get(const std::string& address, const std::string& path) {
    return call(address, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  Call ask(int proxy, const std::string& path, const std::string& key = "k1", const std::string& more = "") {
    return call(http(proxy),
                "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id" + std::to_string(++ids_) +
                    "\r\nDeadline: 9000\r\nTenant: forged\r\nKey: " + key + "\r\n" + more + "\r\n");
  }
  Call beat(const std::string& id, int n, const std::string& phase = "ready") {
    return post(ctl(1 + n % 3), "/Instances.Heartbeat/" + id,
                R"({"svc":"alpha","addr":")" + server(n) + R"(","az":"z1","gen":"v1","cap":4,"phase":")" +
                    phase + R"(","warm_left_ms":0,"calls":)" + std::to_string(++beats_) + "}");
  }

  // A core machine that joins later, or starts again with an empty disk.
  void join_core(int machine) { start_core(machine, false); }

  asio::io_context io{1};
  std::vector<std::unique_ptr<Store>> stores;
  std::vector<std::unique_ptr<Registry>> registries;
  std::vector<std::unique_ptr<http::Server>> doors;
  std::vector<std::unique_ptr<proxy::Proxy>> proxies;

  void start_core(int machine, bool bootstrap = true) {
    const auto s = settings(machine, bootstrap);
    auto disk = Disk::open(folder_ + "/" + s.hostname);
    BOOST_REQUIRE(!failed(disk));
    auto kept = value(disk)->read();
    stores.push_back(std::make_unique<Store>(io, s, std::move(value(disk)), std::move(value(kept))));
    stores.back()->start();
    registries.push_back(std::make_unique<Registry>(io, s, nullptr));
    auto& r = *registries.back();
    r.start();
    doors.push_back(std::make_unique<http::Server>(
        io, *snowknot::endpoint_of(ctl(machine)), http::ServerLimits{},
        dispatch({std::make_shared<ShutdownHandler>(r), std::make_shared<InstanceHandler>(r),
                  std::make_shared<ConfigurationHandler>(r), std::make_shared<EvacuationHandler>(r)})));
    doors.push_back(std::make_unique<http::Server>(io, *snowknot::endpoint_of(dir(machine)),
                                                   http::ServerLimits{},
                                                   dispatch({std::make_shared<ResolveHandler>(r)})));
  }
  void start_proxy(int machine) {
    proxies.push_back(std::make_unique<proxy::Proxy>(io, settings(machine, true, proxy_settings_)));
    BOOST_REQUIRE(!failed(proxies.back()->start()));
  }

 private:
  SystemSettings settings(int machine, bool bootstrap = true, const std::string& more = "") {
    const auto p = [&](int offset) { return std::to_string(port_ + offset); };
    auto text = "hostname=m" + std::to_string(machine) + "\nbind_ip=" + ip(machine) +
                "\naz=z1\nrgn=r1\nazs.z1=r1\nport_range=" + p(0) + "," + p(5) + "\nseeds=" + ctl(1) + "," +
                ctl(2) + "," + ctl(3) + "\nbootstrap=" + (bootstrap ? "true" : "false") +
                "\nvoting=true\nhb_ms=1500\n" + "listen.ctl=" + ctl(machine) +
                "\nlisten.dir=" + dir(machine) + "\nlisten.http=" + http(machine) +
                "\nlimits.nofile=1024\nbounds.strict_revoke=true\n" + more;
    auto read = parse_settings(text, "test");
    BOOST_REQUIRE(!failed(read));
    return value(read);
  }
  std::uint16_t port_;
  std::string proxy_settings_;
  std::string folder_;
  std::uint64_t ids_ = 0, beats_ = 0;
};

}  // namespace docklift::test
