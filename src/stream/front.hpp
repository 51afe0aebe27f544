// Streaming on sockets: requests of some classes, whose bodies pass in both directions as they come. What to do is Exchange's
// to say; here it is done, and the memory's shares and the limits of time are kept. Server, repeat and refusal are the
// module's, by way of the node, as for every other request.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "node.hpp"
#include "stream/budget.hpp"
#include "stream/exchange.hpp"
#include "stream/progress.hpp"
#include "stream/wheel.hpp"

namespace docklift::stream {

struct StreamOptions {
  std::vector<std::string> classes;  // names of the platform's classes
  ExchangeLimits limits;
  std::size_t memory = 64 << 20;  // bytes of bodies, in all
  std::size_t most_streams = 1000;
  ProgressLimits request, answer;  // of a client's body and of a server's
  ProgressLimits take;             // of either's taking
  snowknot::Duration longest{std::chrono::minutes(10)};
  snowknot::Duration retry_after{std::chrono::seconds(1)};
  std::size_t socket_buffer = 128 << 10;  // of each socket, in the kernel; 0: the kernel's own choice
  std::vector<std::string> trailers;      // names, in lower case
  std::uint64_t bytes_per_unit = 0;       // of a request's body; 0: only what X-Quota says
  bool require_length = false;  // a body whose length is not told is answered 411
  std::uint64_t unknown_length = 1 << 20; // counted for a body whose length is not told, until it has come
  bool any_class = false;  // a body that is longer than the node holds whole, of any class: its client's patience counts from its end
};

// What the platform asks for long bodies, within its limit of memory (bytes).
StreamOptions platform_options(std::size_t memory);

// What all streams together hold at worst beside the sockets' buffers in the kernel, in bytes.
std::size_t memory_bound(const StreamOptions& options);

class StreamFront : public snowknot::Streams {
 public:
  StreamFront(boost::asio::io_context& io, snowknot::Node& node, StreamOptions options);
  ~StreamFront() override;
  StreamFront(const StreamFront&) = delete;
  StreamFront& operator=(const StreamFront&) = delete;

  bool takes(std::string_view class_name) const override;
  bool takes_long() const override { return options_.any_class; }
  snowknot::Duration allowance(const std::optional<std::uint64_t>& length) const override;
  snowknot::Duration longest() const override { return options_.longest; }
  // Or how long to stay away.
  std::optional<snowknot::Duration> no_room() const override;
  std::uint64_t most_request() const override { return options_.limits.most_request; }
  bool requires_length() const override { return options_.require_length; }
  double units_of(double told, const std::optional<std::uint64_t>& length) const override;
  void take(snowknot::Socket socket, snowknot::StreamHead head, std::string rest) override;
  void end_all() override;

  std::size_t current() const override;
  std::size_t open() const { return streams_.size(); }
  const Budget& budget() const { return budget_; }
  struct Counts {
    std::uint64_t begun = 0, paused = 0, cut = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  class Stream;
  friend class Stream;

  Nanos now() const;
  std::uint64_t tick_of(Nanos t) const;
  void settle();  // hands on memory, and forgets streams that are over
  void arm();
  void ticked();

  boost::asio::io_context& io_;
  snowknot::Node& node_;
  StreamOptions options_;
  Budget budget_;
  Wheel wheel_;
  Nanos wheel_began_{};
  snowknot::Timers::Handle tick_;
  std::unordered_map<std::uint32_t, std::shared_ptr<Stream>> streams_;  // by their place on the wheel
  std::vector<std::uint32_t> free_, over_;
  std::uint32_t places_ = 0;
  bool settling_ = false;
  std::vector<char> scratch_;
  Counts counts_;
};

}  // namespace docklift::stream
