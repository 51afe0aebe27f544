// Clients that keep connections to proxies and send requests on them, on a thread of their own, and a server that
// responds to them.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standins/system/server.hpp"
#include "system/base/time.hpp"

namespace docklift::test {

// What became of the requests.
struct SoakCounts {
  std::atomic<int> served{0}, refused{0};
  std::atomic<int> unanswered{0};  // no response within the limit
  std::atomic<int> lost{0};  // the connection ended without one, though the request had surely been read
};

class SoakClients {
 public:
  struct Options {
    std::vector<std::string> proxies;  // IP:PORT
    std::string path;
    std::size_t connections = 24;
    Duration response_limit{};  // from the request on
  };
  explicit SoakClients(Options options);
  ~SoakClients();
  SoakClients(const SoakClients&) = delete;
  SoakClients& operator=(const SoakClients&) = delete;
  std::string server_address() const { return server_address_; }
  void start();
  const SoakCounts& counts() const { return counts_; }

 private:
  class Connection;

  Options options_;
  SoakCounts counts_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{io_.get_executor()};
  std::string server_address_;
  std::unique_ptr<standin::Server> server_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::thread thread_;
};

}  // namespace docklift::test
